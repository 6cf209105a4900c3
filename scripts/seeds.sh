#!/usr/bin/env bash
# Runs the property-based and fuzz tests once for each seed from FROM to TO.
# Usage: scripts/seeds.sh FROM TO
set -uo pipefail
cd "$(dirname "$0")/.."
bad=0
for seed in $(seq "${1:-2}" "${2:-51}"); do
  if ! out="$(CFV_SEED="$seed" go test -count=1 ./core/... ./io/cfvsettings ./io/cfvbook 2>&1)"; then
    echo "seed $seed failed"
    echo "$out" | grep -vE '^ok|no test files' | tail -20
    bad=$((bad + 1))
  fi
done
echo "seeds ${1:-2} to ${2:-51}: $bad failed"
[ "$bad" -eq 0 ]
