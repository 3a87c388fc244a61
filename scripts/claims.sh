#!/usr/bin/env bash
# Measures the cost of claims: store calls per call with an idempotency key.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${POPLAR_PORT:-24000} out=out/claims duration=${SPAN:-5}
. scripts/one.sh
totals() { curl -sf -m 5 "http://$ops/status" | sed -E 's/.*"store":\{"age":[^,]*,"calls":([0-9]+),"writes":([0-9]+),"bytes":([0-9]+).*"granted":([0-9]+).*/\1 \2 \3 \4/'; }
echo "keyed calls/s  store calls a call  writes a call  store bytes a call  latency"
for rate in ${RATES:-50 100 200}; do
  before=$(totals)
  latency=$(bin/poplarfake load -entries "$caller" -rate "$rate" -for "${duration}s" -kind POST,/t/s/orders,keyed,deadline=2s | grep latency)
  sleep 1
  echo "$before $(totals)" | awk -v r="$rate" -v l="$latency" -v s="$((duration + 1))" '{ n = $8 - $4; printf "%13d  %18.2f  %13.2f  %18.0f  %s\n", r, ($5 - $1) / n, ($6 - $2) / n, ($7 - $3) / n, l }'
done
