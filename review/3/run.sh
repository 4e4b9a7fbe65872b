#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/reviewkit ] && [ -x bin/yokeroute ] || { echo "build first: the deploy file and review/build.sh"; exit 2; }
exec bin/reviewkit memory review/3
