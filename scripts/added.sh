#!/usr/bin/env bash
# Time that one entry adds on real sockets, and its processor time a call.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${POPLAR_PORT:-22000} out=out/added rate=${RATE:-2000} span=${SPAN:-10}
WORK=0s # a sleeping server adds a millisecond of its own now and then
. scripts/one.sh
ticks() { awk '{ print $14 + $15 }' "/proc/$entry/stat"; }
bin/poplarfake added -server "$server" -entry "$caller" -rate "$rate" -for 1s >/dev/null
before=$(ticks)
bin/poplarfake added -server "$server" -entry "$caller" -rate "$rate" -for "${span}s"
after=$(ticks)
awk -v t="$((after - before))" -v hz="$(getconf CLK_TCK)" -v n="$((rate * span))" \
  'BEGIN { printf "entry: %.1f us of processor a call, %.0f calls a second and core\n", t / hz / n * 1e6, n / (t / hz) }'
grep -E 'VmRSS|Threads' "/proc/$entry/status" | tr '\n' ' '; echo
