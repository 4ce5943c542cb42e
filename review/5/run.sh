#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
[ -x target/runtime/bin/java ] && [ -d target/review/review ] || { echo "build the gateway and run review/build.sh first" >&2; exit 2; }
java_home=$(bin/java-home) || exit 2
exec "$java_home/bin/java" -Xmx1g -cp target/review review.LateCopyCase review/5
