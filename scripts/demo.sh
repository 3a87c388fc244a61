#!/usr/bin/env bash
# Demo: a platform, a dozen servers and three entries on loopback, under load,
# while one server is killed and one entry is stopped gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${POPLAR_PORT:-21000}
out=out/demo
. scripts/lib.sh
platform=127.0.0.1:$base
export POPLARWIND_PLATFORM=$platform

echo "== platform, 12 servers, 3 entries"
start platform bin/poplarfake platform -listen "$platform"
reach "$platform/v1/instances"
domains=(a b c) ; services=(jobs jobs jobs jobs jobs jobs parts parts parts certification certification certification)
for i in $(seq 0 11); do
  addr=127.0.0.1:$((base + 100 + i))
  start "server-$i" bin/poplarfake server -listen "$addr" -ledger "$out/server-$i.ledger" -slots 3 -work 4ms -mood '{"every":600000000,"for":60000000,"noise":5}'
  server_pids[i]=$last
  post "$platform/fake/instance" "{\"name\":\"server-$i\",\"addr\":\"$addr\",\"domain\":\"${domains[i % 3]}\",\"service\":\"/coastline/${services[i]}\"}"
done
entries=()
for i in 0 1 2; do
  c=$((base + 200 + 3 * i))
  cat >"$out/entry-$i.jsonc" <<J
{"name": "entry-$i", "domain": "${domains[i]}", "callers": "127.0.0.1:$c", "peers": "127.0.0.1:$((c + 1))",
 "ops": "127.0.0.1:$((c + 2))", "platform": "$platform", "secret": "demo-secret-demo-secret", "ttl": "1s"}
J
  start "entry-$i" bin/poplarwind -settings "$out/entry-$i.jsonc"
  entries+=("127.0.0.1:$c"); entry_pids[i]=$last
  post "$platform/fake/instance" "{\"name\":\"entry-$i\",\"addr\":\"127.0.0.1:$c\",\"peers\":\"127.0.0.1:$((c + 1))\",\"ops\":\"127.0.0.1:$((c + 2))\",\"domain\":\"${domains[i]}\"}"
done

echo "== settings"
reach "127.0.0.1:$((base + 208))/status"
bin/poplarctl apply -wait examples/coastline.jsonc
for e in 0 1 2; do reach "127.0.0.1:$((base + 202 + 3 * e))/ready"; done
sleep 1.5

echo "== load; after 4 s server-0 is killed, after 8 s entry-0 stops in order"
join() { local IFS=,; echo "$*"; }
bin/poplarfake load -entries "$(join "${entries[@]}")" -ledgers "$out/*.ledger" -rate 400 -for 15s -svg "$out/latency.svg" \
  -kind GET,/coastline/jobs/lookup,share=70,weight=5,deadline=800ms \
  -kind POST,/coastline/parts/orders,share=10,weight=10,deadline=2s,keyed \
  -kind POST,/coastline/certification/filings,share=10,weight=10,deadline=3s,keyed \
  -kind GET,/coastline/certification/archive,share=10,weight=0.5,deadline=10s,work=20ms >"$out/load.txt" 2>&1 &
load=$!
sleep 4; kill -9 "${server_pids[0]}"; { wait "${server_pids[0]}" || true; } 2>/dev/null; echo "killed server-0"
sleep 4; kill -TERM "${entry_pids[0]}"; echo "stopping entry-0"
code=0; wait "$load" || code=$?
wait "${entry_pids[0]}" || { echo "entry-0 did not stop cleanly"; code=1; }
cat "$out/load.txt"
echo "== status"
bin/poplarctl status
grep -q '^doubled 0  false no 0  lost 0' "$out/load.txt" || code=1
grep -Eq 'failed 0  bad 0' "$out/load.txt" || { echo "some calls failed"; code=1; }
if [ "$code" = 0 ]; then echo "demo: every promise held"; else echo "demo: FAILED"; fi
exit "$code"
