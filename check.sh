#!/usr/bin/env bash
# Formats, vets, lints and tests the project with fixed seeds, and prints the entries of
# KNOWN-RED.txt. Needs Go and a C compiler; all else comes through Go's modules.
set -uo pipefail
cd "$(dirname "$0")"

fail=0
step() {
  echo "== $1"
  shift
  "$@" || { echo "== failed: $*"; fail=1; }
}

formatted() {
  local bad
  bad="$(gofmt -l $(git ls-files -co --exclude-standard '*.go'))"
  [ -z "$bad" ] || { echo "not formatted: $bad"; return 1; }
}

step "format" formatted
step "vet" go vet ./...
step "staticcheck" go tool staticcheck ./...
step "revive" go tool revive -config revive.toml -exclude ./io/cfvwire/... ./...
step "tests" scripts/test.sh

echo "== known red"
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; else echo "none"; fi
exit "$fail"
