#!/bin/sh
# Builds the stand-ins and drivers of the cases, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/java-home)
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/harness/*.java
