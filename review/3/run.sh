#!/usr/bin/env bash
# Plays case 3. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# It needs the builds of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bramleyhatch ] || [ ! -x target/review-standin ]; then
	echo "build first: deploy/system.toml and review/build.sh"
	exit 2
fi
timeout -k 5 115 target/review-standin 3 review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
