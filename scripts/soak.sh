#!/usr/bin/env bash
# Builds the daemon and runs the soak of internal/soaker. SEED is the first seed, SEEDS their number,
# LENGTH the time of faults for each, and ENTRIES the number of entries.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
go build -o "$folder/poplarwind" ./cmd/poplarwind
go test -count=1 -timeout 120m ${VERBOSE:+-v} ./internal/soaker -run TestSoak -program "$folder/poplarwind" -seed "${SEED:-1}" -seeds "${SEEDS:-1}" -length "${LENGTH:-10s}" -entries "${ENTRIES:-5}"
