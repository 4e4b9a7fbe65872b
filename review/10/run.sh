#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Wants the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x bin/yokeroute ] || ! [ -x bin/review2-10 ]; then
	echo "not built: the deploy file's build, then review/build-2.sh" >&2
	exit 2
fi
timeout -k 2 115 bin/review2-10 review/10
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
