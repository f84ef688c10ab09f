#!/usr/bin/env bash
# Switches each mechanism off in turn, in a scratch copy, and plays days of one site.
#   scripts/ablate.sh BENCH SITE "DAY..." "SEED..." [JOBS [MECHANISM...]]
# BENCH is the users' bench and SITE a site file; JOBS is how many days to play at once (2).
# Prints a line for each mechanism: its worths, their mean, and the difference to all
# mechanisms on. Reports that exist in FOLDER (ablation, in the temporary folder) are not
# played again, so a run that was ended goes on where it was. Journal entries stay in the
# copies, under FOLDER.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 4 ]; then
	sed -n '2,8s/^# //p' "$0"
	exit 2
fi
bench=$(realpath "$1") site=$(realpath "$2") days=$3 seeds=$4 jobs=${5:-2}
shift $(($# < 5 ? $# : 5))
folder=${FOLDER:-${TMPDIR:-/tmp}/ablation}
switch=github.com/wheatweir/wheatweir/internal/mechanism.off
if [ $# -gt 0 ]; then
	mechanisms=("$@")
else
	mapfile -t mechanisms < <(go run ./cmd/wheatweir lab mechanisms)
fi

# build makes a copy of this tree in which one mechanism is off.
build() {
	local off=$1 copy=$folder/$1/tree
	[ -d "$copy" ] && return
	mkdir -p "$folder/$off/reports"
	git clone -q . "$copy"
	if [ "$off" != none ]; then
		sed -i "s#-ldflags=-linkmode=external#'-ldflags=-linkmode=external -X $switch=$off'#" "$copy/deploy/system.toml"
	fi
	(cd "$copy" && "$bench" build >"$folder/$off/build.txt")
}

play() {
	local off=$1 day=$2 seed=$3 report
	report=$folder/$off/reports/$(basename "$site" .toml)-$day-$seed.txt
	grep -q '^worth ' "$report" 2>/dev/null && return
	(cd "$folder/$off/tree" && "$bench" run "$site" "$day" --seed "$seed" --no-cpu --why "ablation: $off off" >"$report" 2>&1) || true
}
export -f play
export bench site folder

usual=
for off in none "${mechanisms[@]}"; do
	build "$off"
	for seed in $seeds; do
		for day in $days; do
			echo "$off $day $seed"
		done
	done | xargs -P "$jobs" -L 1 bash -c 'play "$@"' _
	worths=$(grep -h '^worth ' "$folder/$off/reports/$(basename "$site" .toml)"-*.txt | awk '{print $2}')
	mean=$(awk '{ total += $1 } END { printf "%.4f", total / NR }' <<<"$worths")
	usual=${usual:-$mean}
	printf '%-16s mean %s difference %+.4f of %d runs:' "$off" "$mean" "$(awk "BEGIN { print $mean - $usual }")" "$(wc -l <<<"$worths")"
	echo "" $worths
done
