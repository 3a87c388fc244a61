#!/usr/bin/env bash
# Measures the cost of the control plane: what one idle entry uses at several
# sizes of the deployment. Each size is ENTRIES:TEAMS:SERVERS; a team has ten
# services.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${POPLAR_PORT:-23000}
duration=${SPAN:-15}
heartbeat=${BEAT:-500ms}
heartbeat_timeout=${SILENCE:-3s}
out=out/capacity
. scripts/lib.sh
platform=127.0.0.1:$base
export POPLARWIND_PLATFORM=$platform
printf '%8s %8s %8s %10s %8s %12s %12s %10s %10s\n' entries services servers "core %" "RSS MB" "peer B/s out" "peer B/s in" "store/s" "store B/s"
measure() {
  local entries=$1 teams=$2 servers=$3
  rm -rf "$out" && mkdir -p "$out"
  start platform bin/poplarfake platform -listen "$platform"
  reach "$platform/v1/instances"
  for i in $(seq 0 $((servers - 1))); do
    echo "{\"name\":\"server-$i\",\"addr\":\"10.0.$((i / 250)).$((i % 250)):80\",\"domain\":\"d$((i % 6))\",\"service\":\"/team-$((i % teams))/service-$((i / teams % 10))\"}"
  done >"$out/instances"
  for i in $(seq 0 $((entries - 1))); do
    c=$((base + 10 + 3 * i))
    echo "{\"name\":\"entry-$i\",\"addr\":\"127.0.0.1:$c\",\"peers\":\"127.0.0.1:$((c + 1))\",\"ops\":\"127.0.0.1:$((c + 2))\",\"domain\":\"d$((i % 6))\"}"
  done >>"$out/instances"
  while read -r line; do printf 'next\nurl="http://%s/fake/instance"\ndata=%s\n' "$platform" "$(printf '%s' "$line" | sed 's/"/\\"/g; s/^/"/; s/$/"/')"; done <"$out/instances" | sed 1d >"$out/curl"
  curl -sf -K "$out/curl" >/dev/null
  for t in $(seq 0 $((teams - 1))); do
    { echo "{\"/team-$t\": {}"; for s in $(seq 0 9); do echo ", \"/team-$t/service-$s\": {\"slots\": 3, \"routes\": [{\"match\": \"/a\", \"class\": \"urgent\"}]}"; done; echo "}"; } >"$out/team-$t.jsonc"
    bin/poplarctl apply "$out/team-$t.jsonc" >/dev/null
  done
  for i in $(seq 0 $((entries - 1))); do
    c=$((base + 10 + 3 * i))
    echo "{\"name\": \"entry-$i\", \"domain\": \"d$((i % 6))\", \"callers\": \"127.0.0.1:$c\", \"peers\": \"127.0.0.1:$((c + 1))\", \"ops\": \"127.0.0.1:$((c + 2))\", \"platform\": \"$platform\", \"secret\": \"capacity-capacity\", \"beat\": \"$heartbeat\", \"silence\": \"$heartbeat_timeout\"}" >"$out/entry-$i.jsonc"
    start "entry-$i" bin/poplarwind -settings "$out/entry-$i.jsonc"
  done
  local pid=$last ops=127.0.0.1:$((base + 10 + 3 * (entries - 1) + 2))
  sleep 12
  local before after
  before=$(sample "$pid" "$ops")
  sleep "$duration"
  after=$(sample "$pid" "$ops")
  echo "$before $after $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")" | awk -v hz="$(getconf CLK_TCK)" -v e="$entries" -v v="$((teams * 10))" -v n="$servers" '{
    t = $7 - $1; printf "%8d %8d %8d %10.2f %8.1f %12.0f %12.0f %10.1f %10.0f\n", e, v, n, ($8 - $2) / hz / t * 100, $13 / 1024, ($9 - $3) / t, ($10 - $4) / t, ($11 - $5) / t, ($12 - $6) / t }'
  stop_all
}
# sample PID ADDRESS prints the time, the process's CPU ticks, and its totals of
# peer bytes sent and received, store calls and store bytes.
sample() {
  local j
  j=$(curl -sf -m 5 "http://$2/status")
  echo "$(date +%s.%N) $(awk '{ print $14 + $15 }' "/proc/$1/stat") $(printf '%s' "$j" | sed -E 's/.*"peers":\{"sent":([0-9]+),"received":([0-9]+).*/\1 \2/') $(printf '%s' "$j" | sed -E 's/.*"store":\{"age":[^,]*,"calls":([0-9]+),"writes":[0-9]+,"bytes":([0-9]+).*/\1 \2/')"
}
for s in ${SIZES:-5:2:60 19:4:300 60:13:1000}; do IFS=: read -r e t n <<<"$s"; measure "$e" "$t" "$n"; done
