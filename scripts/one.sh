# Starts one platform, one server and one entry on loopback, for measurements.
# The including script sets out and base, and may set WORK, the server's time per
# call. This script sets entry (the entry's process id) and the addresses server,
# caller (the entry's, for callers) and ops (the entry's, for operators).
. scripts/lib.sh
platform=127.0.0.1:$base server=127.0.0.1:$((base + 1)) caller=127.0.0.1:$((base + 2)) ops=127.0.0.1:$((base + 4))
export POPLARWIND_PLATFORM=$platform
start platform bin/poplarfake platform -listen "$platform"
reach "$platform/v1/instances"
start server bin/poplarfake server -listen "$server" -slots 64 -work "${WORK:-1ms}"
post "$platform/fake/instance" "{\"name\":\"s\",\"addr\":\"$server\",\"domain\":\"a\",\"service\":\"/t/s\"}"
cat >"$out/entry.jsonc" <<J
{"name": "e", "domain": "a", "callers": "$caller", "peers": "127.0.0.1:$((base + 3))",
 "ops": "$ops", "platform": "$platform", "secret": "one-entry-one-entry"}
J
start entry bin/poplarwind -settings "$out/entry.jsonc"
entry=$last
echo '{"/t/s": {"slots": 64, "conns": 240}}' >"$out/settings.jsonc"
reach "$ops/status"
bin/poplarctl apply -wait -entries "$ops" "$out/settings.jsonc" 2>/dev/null
reach "$ops/ready"
sleep 1.5
