#!/bin/sh
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/usher-edge ] || [ ! -x target/review-3 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-3.sh"
	exit 2
fi
timeout -k 3 112 target/review-3 quota-away review/14/record.txt
status=$?
[ $status -le 2 ] || status=2
exit $status
