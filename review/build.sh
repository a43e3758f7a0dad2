#!/bin/sh
# Builds the stand-ins that the cases start. Run it from the root of the repository, or anywhere.
set -e
cd "$(dirname "$0")/standins"
mkdir -p classes
exec javac -encoding UTF-8 -d classes src/*.java
