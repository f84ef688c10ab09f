#!/usr/bin/env bash
# Plays the days of deploy/days on one site and prints a line for each.
#   scripts/days.sh BENCH SITE [JOBS [PATTERN]]
# BENCH is the users' bench, SITE a site file, JOBS how many days at once (2), and
# PATTERN selects days by their names. Reports go to a folder that is printed last.
set -euo pipefail
if [ $# -lt 2 ]; then
	sed -n '2,6s/^# //p' "$0"
	exit 2
fi
bench=$1 site=$2 jobs=${3:-2} pattern=${4:-.}
reports=$(mktemp -d)
play() {
	local day=$1 name
	name=$(basename "$day" .toml)
	if ! timeout 300 "$bench" run "$site" "$day" >"$reports/$name.txt" 2>&1; then
		echo "$name: the bench failed, see $reports/$name.txt"
		return
	fi
	grep -m1 "^$name " "$reports/$name.txt" || echo "$name: no result, see $reports/$name.txt"
}
export -f play
export bench site reports
ls deploy/days/*.toml | grep -- "$pattern" | xargs -P "$jobs" -I{} bash -c 'play {}'
echo "reports: $reports"
