#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/oriolehall.jar ] && [ -f target/review-2/Case.class ] || { echo "run deploy/build.sh and review/build-2.sh first"; exit 2; }
exec java -Xmx512m -cp target/review-2 LateWrite review/10/record.txt
