#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. Run it in the repository's root or anywhere else.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
