#!/usr/bin/env bash
# Measures the latency that one entry adds on real sockets, and its CPU time per
# call.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${POPLAR_PORT:-22000} out=out/added rate=${RATE:-2000} duration=${SPAN:-10}
WORK=0s # a server that sleeps adds 1 ms of its own at times
. scripts/one.sh
ticks() { awk '{ print $14 + $15 }' "/proc/$entry/stat"; }
bin/poplarfake added -server "$server" -entry "$caller" -rate "$rate" -for 1s >/dev/null
before=$(ticks)
bin/poplarfake added -server "$server" -entry "$caller" -rate "$rate" -for "${duration}s"
after=$(ticks)
awk -v t="$((after - before))" -v hz="$(getconf CLK_TCK)" -v n="$((rate * duration))" \
  'BEGIN { printf "entry: %.1f us of processor a call, %.0f calls a second and core\n", t / hz / n * 1e6, n / (t / hz) }'
grep -E 'VmRSS|Threads' "/proc/$entry/status" | tr '\n' ' '; echo
