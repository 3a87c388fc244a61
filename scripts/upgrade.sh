#!/usr/bin/env bash
# Builds the production commit of deploy/system.toml and the present tree, and replaces
# entries of one by entries of the other under load. ROUNDS is the number of upgrades of each
# kind, SEED the seed of the first, and BASE another commit than that of production.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${BASE:-$(sed -n 's/^production *= *"\(.*\)"/\1/p' deploy/system.toml)}
if ! git cat-file -e "$base^{commit}" 2>/dev/null; then
	echo "upgrade: commit $base is not in this clone: tests of upgrades not run"
	exit 0
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkdir "$folder/tree"
git archive "$base" | tar -x -C "$folder/tree"
(cd "$folder/tree" && go build -o "$folder/old" ./cmd/poplarwind)
go build -o "$folder/new" ./cmd/poplarwind
go test -count=1 -timeout 60m -v ./internal/upgrader -old "$folder/old" -new "$folder/new" -rounds "${ROUNDS:-1}" -seed "${SEED:-1}"
