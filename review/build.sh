#!/bin/sh
# Builds the stand-ins of the cases.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/_standin
