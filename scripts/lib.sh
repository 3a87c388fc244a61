# Functions shared by the scripts. Processes that are started here are killed
# here, by process id, when the script exits. The including script sets out, the
# directory for logs.
rm -rf "$out" && mkdir -p "$out"
pids=()
stop_all() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap stop_all EXIT
# start NAME COMMAND... runs a command in the background and sets last to its
# process id.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
}
# post ADDRESS/PATH BODY sends a POST request and fails unless it succeeds.
post() { curl -sf -m 2 -X POST --data "$2" "http://$1" >/dev/null; }
# reach ADDRESS/PATH polls until a request succeeds, 100 times at most, 0.1 s
# apart.
reach() { for _ in $(seq 100); do curl -sf -m 1 "http://$1" >/dev/null && return; sleep 0.1; done; }
