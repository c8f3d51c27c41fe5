#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/spruceridge.jar ] || { echo "build the project first"; exit 2; }
[ -d review/build ] || bash review/build.sh || exit 2
timeout -k 3 117 java -Xmx256m -cp review/build review.MistakenJobs . review/3
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
