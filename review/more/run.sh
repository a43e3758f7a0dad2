#!/bin/sh
# Plays a fault that is beyond the three cases: sh review/more/run.sh BadClients (or BrokenLong, DrainedPipeline, SlowWriters). Status and TROUBLE as in the cases.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standins/classes ] || { echo "run review/build.sh first"; exit 2; }
exec java -Xmx512m -cp review/standins/classes "${1:?names no class}" review/more
