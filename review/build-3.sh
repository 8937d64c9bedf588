#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java review/1[1-5]/*.java
