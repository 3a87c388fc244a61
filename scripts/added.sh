#!/usr/bin/env bash
# Time that one entry adds on real sockets, and its processor time a call.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${POPLAR_PORT:-22000}
rate=${RATE:-2000}
span=${SPAN:-10}
out=out/added
rm -rf "$out" && mkdir -p "$out"
pids=()
trap 'for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done' EXIT
start() { local name=$1; shift; "$@" >"$out/$name.log" 2>&1 & pids+=($!); last=$!; }
post() { curl -sf -m 2 -X POST --data "$2" "http://$1" >/dev/null; }
platform=127.0.0.1:$base
export POPLARWIND_PLATFORM=$platform
start platform bin/poplarfake platform -listen "$platform"
for _ in $(seq 50); do curl -sf -m 1 "http://$platform/v1/instances" >/dev/null && break; sleep 0.1; done
start server bin/poplarfake server -listen "127.0.0.1:$((base + 1))" -slots 64 -work 1ms
post "$platform/fake/instance" "{\"name\":\"s\",\"addr\":\"127.0.0.1:$((base + 1))\",\"domain\":\"a\",\"service\":\"/t/s\"}"
cat >"$out/entry.jsonc" <<J
{"name": "e", "domain": "a", "callers": "127.0.0.1:$((base + 2))", "peers": "127.0.0.1:$((base + 3))",
 "ops": "127.0.0.1:$((base + 4))", "platform": "$platform", "secret": "added-secret-added"}
J
start entry bin/poplarwind -settings "$out/entry.jsonc"
entry=$last
echo '{"/t/s": {"slots": 64, "conns": 240}}' >"$out/settings.jsonc"
for _ in $(seq 50); do curl -sf -m 1 "http://127.0.0.1:$((base + 4))/status" >/dev/null && break; sleep 0.1; done
bin/poplarctl apply -wait -entries "127.0.0.1:$((base + 4))" "$out/settings.jsonc"
for _ in $(seq 50); do curl -sf -m 1 "http://127.0.0.1:$((base + 4))/ready" >/dev/null && break; sleep 0.1; done
sleep 1.5
ticks() { awk '{ print $14 + $15 }' "/proc/$entry/stat"; }
bin/poplarfake added -server "127.0.0.1:$((base + 1))" -entry "127.0.0.1:$((base + 2))" -rate "$rate" -for 1s >/dev/null
before=$(ticks)
bin/poplarfake added -server "127.0.0.1:$((base + 1))" -entry "127.0.0.1:$((base + 2))" -rate "$rate" -for "${span}s"
after=$(ticks)
awk -v t="$((after - before))" -v hz="$(getconf CLK_TCK)" -v n="$((rate * span))" \
  'BEGIN { printf "entry: %.1f us of processor a call, %.0f calls a second and core\n", t / hz / n * 1e6, n / (t / hz) }'
grep -E 'VmRSS|Threads' "/proc/$entry/status" | tr '\n' ' '; echo
