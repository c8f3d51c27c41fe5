#!/usr/bin/env bash
# run-2.sh NUMBER: runs a case of the second review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/spruceridge.jar ] || [ ! -f "target/review-2/Case$1.class" ]; then
    echo "run the build of deploy/service.toml and review/build-2.sh first" >&2
    exit 2
fi
exec java -Xmx256m -cp target/review-2 "Case$1" "$PWD" "$PWD/review/$1"
