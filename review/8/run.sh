#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/dappleseam.jar ] || [ ! -d review/target/standins-2 ]; then
  echo "run the build of deploy/balancer.toml and review/build-2.sh first"
  exit 2
fi
exec java -cp review/target/standins-2 BrokenValue review/8
