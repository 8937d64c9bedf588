#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf standins-2/target
mkdir -p standins-2/target
sources=(standins-2/*.java)
for n in 6 7 8 9 10; do
  for f in "$n"/*.java; do
    [ -e "$f" ] && sources+=("$f")
  done
done
javac -Xlint:all -d standins-2/target "${sources[@]}"
