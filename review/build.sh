#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use nothing but the JDK; the result is under target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/standin/*.java
