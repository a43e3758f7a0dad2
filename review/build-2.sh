#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/target/standins-2
exec javac -Xlint:all -d review/target/standins-2 review/standins-2/*.java
