#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2, and the version in production, from which
# one case upgrades, into target/review-2-production. Run after the build of the deploy file; needs no network then.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
javac --release 17 -Xlint:all -encoding UTF-8 -d target/review-2 review/standins-2/src/*.java review/[4-8]/*.java

production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
folder=target/review-2-production
if [ "$(cat "$folder/built" 2> /dev/null)" != "$production" ]; then
    rm -rf "$folder"
    mkdir -p "$folder"
    git archive "$production" | tar -x -C "$folder"
    (cd "$folder" && mvn -o -q -DskipTests package)
    echo "$production" > "$folder/built"
fi
