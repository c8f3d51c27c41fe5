#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
shopt -s nullglob
javac --release 17 -Xlint:all -encoding UTF-8 -d target/review-2 review/standins-2/src/*.java review/[4-8]/*.java
