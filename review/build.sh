#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. Run it after deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
