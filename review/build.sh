#!/bin/sh
# Builds the stand-ins that the scripts of the review start: one program with the clients, the replicas and the platform.
cd "$(dirname "$0")/.." || exit 2
exec go build -buildvcs=false -o target/review-harness ./review/harness
