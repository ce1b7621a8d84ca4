#!/bin/bash
# Plays one case of the review: play.sh NUMBER. The run.sh of each case calls it.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 plays it without the disruption.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
number=$1
run=$(sed -n 's/^run = "\([^"]*\)".*$/\1/p' "$root/deploy/balancer.toml")
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
if [ -z "$run" ] || [ ! -x "$root/bin/cometrack" ] || [ ! -x "$root/review/bin/standin" ]; then
	echo "not run: the build of deploy/balancer.toml and review/build.sh come first"
	exit 2
fi
exec "$root/review/bin/standin" -case "$number" -root "$root" -run "$run" -trouble="$trouble" \
	-record "$root/review/$number/record.txt"
