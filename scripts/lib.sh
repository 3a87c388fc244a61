# What the scripts share: processes that are started here are ended here, by
# process id. The including script sets out, the folder of logs.
rm -rf "$out" && mkdir -p "$out"
pids=()
stop_all() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap stop_all EXIT
# start NAME COMMAND... leaves the process id in last.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
}
# post ADDRESS/PATH BODY
post() { curl -sf -m 2 -X POST --data "$2" "http://$1" >/dev/null; }
# reach ADDRESS/PATH waits until it answers well, ten seconds at most.
reach() { for _ in $(seq 100); do curl -sf -m 1 "http://$1" >/dev/null && return; sleep 0.1; done; }
