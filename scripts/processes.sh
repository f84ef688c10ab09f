#!/usr/bin/env bash
# Runs each part of the demo as its own process on loopback: the stand-in
# platform, four engines, two service machines and three daemons. Ends them all
# when it is interrupted. Logs go to a new folder that it names.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=$(mktemp -d)
credential="lab operator credential"
pids=()

stop() {
	for pid in "${pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	wait
}
trap stop EXIT

go build -o "$folder/" ./cmd/wheatweir ./cmd/wheatweird

start() {
	name=$1
	shift
	"$@" >"$folder/$name.log" 2>&1 &
	pids+=($!)
}

platform=127.0.0.1:18000
start platform "$folder/wheatweir" lab platform --listen "$platform" --lag 200ms
for number in 1 2 3 4; do
	start "engine-$number" "$folder/wheatweir" lab engine --listen "127.0.0.1:1810$number" \
		--name "engine-$number" --zone "zone-$((number % 3 + 1))" --platform "$platform"
done
for number in 1 2; do
	start "portal-$number" "$folder/wheatweir" lab service --listen "127.0.0.1:1820$number" \
		--name "portal-$number" --zone "zone-$number" --platform "$platform"
done

daemons=()
for number in 1 2 3; do
	cat >"$folder/daemon-$number.ini" <<INI
[daemon]
name = daemon-$number
zone = zone-$number
caller_address = 127.0.0.1:1830$number
peer_address = 127.0.0.1:1840$number
platform_address = $platform
seeds = 127.0.0.1:18401, 127.0.0.1:18402, 127.0.0.1:18403
deployment_key = lab deployment key, not a secret

[operators]
credential = $credential
INI
	start "daemon-$number" "$folder/wheatweird" --settings "$folder/daemon-$number.ini"
	daemons+=(--daemon "127.0.0.1:1830$number")
done

echo "logs in $folder; process ids: ${pids[*]}"
"$folder/wheatweir" lab create-models "${daemons[@]}" --credential "$credential" --machines 6
if [ "${1:-}" = "--once" ]; then
	exit 0
fi
wait
