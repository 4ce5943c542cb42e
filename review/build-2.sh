#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 under target/, without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"$(bin/java-home)/bin/javac" --release 21 -Xlint:all -d target/review-2 review/harness-2/*.java
