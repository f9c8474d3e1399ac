#!/usr/bin/env bash
# Fails when a name of the platform's protocol appears outside platform/ and
# deploy/, or one of its words stands where the product has its own.
set -euo pipefail
cd "$(dirname "$0")/.."
found=0
report() { # report WHAT PATTERN [grep options]
  local what=$1 pattern=$2
  shift 2
  local hits
  hits=$(git grep -nIE "$@" -e "$pattern" -- '*.go' ':!platform' ':!*.pb.go' || true)
  if [ -n "$hits" ]; then
    echo "$what outside platform/:"
    echo "$hits"
    found=1
  fi
}
report "header or path of the platform" 'x-bilberryhub-|x-api-key|/bilberryhub/(ready|config|replicas|evacuations|report|order)' -i
report "field of the platform" '"(path-prefix|timeout-ms|target-latency-ms|target-gap-ms|api-keys|cold-remaining-ms|kv-capacity-tokens|heartbeat-url|stream-resume)"'
report "word of the platform" '\b(zones?|tenants?|customers?|upstreams?)\b' -i -w
exit "$found"
