#!/bin/sh
# Compiles the stand-ins of the second review to target/review-2. Needs a JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
