#!/usr/bin/env bash
# Writes record.txt into its folder. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
dir="$(cd "$(dirname "$0")" && pwd)"
cd "$dir/../.." || exit 2
exec java -Xmx512m -Dsun.net.httpserver.nodelay=true -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp target/review Case FailingWorker "${RECORD_DIR:-$dir}"
