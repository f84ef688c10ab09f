#!/usr/bin/env bash
# Streams broken off in a release and taken up by their clients, while all daemons are killed.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2 ] || [ ! -x target/wheatweird ]; then
	echo "build the deploy file and review/build-2.sh first"
	exit 2
fi
exec target/review-2 versions review/5/record.txt
