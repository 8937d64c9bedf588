#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Needs the build of the deploy file and review/build-2.sh.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -XX:+UseSerialGC -cp review/standins-2/target NewLife review/6
