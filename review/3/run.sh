#!/bin/sh
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standins/classes ] || { echo "run review/build.sh first"; exit 2; }
exec java -Xmx512m -cp review/standins/classes UpgradeMemory review/3
