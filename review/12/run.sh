#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-3 ] && [ -d target/lib ] || exit 2
exec timeout 115 java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp target/review-3 Case12
