#!/usr/bin/env bash
# Generates the Go code of the peer protocols. The generated code is committed, so that builds
# need no generator. Requires protoc, installed from the system's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
tools="$(mktemp -d)"
trap 'rm -rf "$tools"' EXIT
GOBIN="$tools" go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GOBIN="$tools" go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
PATH="$tools:$PATH" protoc --go_out=. --go_opt=module=coltsfootvalve \
  --connect-go_out=. --connect-go_opt=module=coltsfootvalve io/cfvwire/peer.proto io/cfvwire/cfvwireentry/entry.proto
