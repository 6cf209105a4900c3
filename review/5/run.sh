#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/coltsfootvalve ] && [ -x target/review-harness ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review-harness relays "$PWD/target/coltsfootvalve" "$here/record.txt"
