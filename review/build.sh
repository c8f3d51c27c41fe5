#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/build. Needs the JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf build.new
mkdir -p build.new
javac -nowarn -d build.new standins/*.java
rm -rf build
mv build.new build
