#!/usr/bin/env bash
# Builds each commit of the arguments and records the messages between its entries in
# runner/testdata/messages, for the test that the present build reads them.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || { echo "usage: $0 COMMIT..." >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for commit in "$@"; do
	mkdir "$folder/$commit"
	git archive "$commit" | tar -x -C "$folder/$commit"
	(cd "$folder/$commit" && go build -o "$folder/program-$commit" ./cmd/poplarwind)
	go test -count=1 -v -run TestRecordMessages ./internal/upgrader -old "$folder/program-$commit" -new "$folder/program-$commit" -record "$PWD/runner/testdata/messages/$commit"
done
