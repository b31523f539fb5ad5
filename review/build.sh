#!/bin/sh
# Compiles the stand-ins of the review cases into review/target. Needs only the JDK that builds the project.
set -eu
cd "$(dirname "$0")"
mkdir -p target
javac -Xlint:all -d target standins/*.java
