#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/poplarwind ] || [ ! -x target/standin2 ]; then
	echo "build the program (deploy/system.toml) and run review/build-2.sh first" >&2
	exit 2
fi
exec target/standin2 grace "$here/record.txt"
