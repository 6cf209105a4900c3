#!/usr/bin/env bash
# Measures the resources that idle entries use: runs N entries as processes without requests
# for SECONDS and prints the CPU share, the resident memory and the bytes per second exchanged
# with peers, averaged over the entries.
# Usage: scripts/footprint.sh N SECONDS [WORKSPACES]
set -euo pipefail
cd "$(dirname "$0")/.."
n="$1" seconds="$2" workspaces="${3:-10}"

go build -o bin/ . ./standins ./scripts/demo
work="$(mktemp -d)"
declare -a pids=() entry_pids=()
cleanup() {
  for pid in "${pids[@]}" "${entry_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

mapfile -t ports < <(bin/demo --ports $((3 * n + 22)))
next=0
port() { address="127.0.0.1:${ports[$next]}"; next=$((next + 1)); }
run() { "$@" >>"$work/standins.log" 2>&1 & pids+=($!); }
port; kv=$address; run bin/standins kv --listen "$kv" --latency 0s
port; vmlist=$address; run bin/standins vmlist --listen "$vmlist" --lag 0s
tree='{"root":{"coldSlots":2,"warmSlots":2},"services/assistant":{}'
for i in $(seq 20); do
  port; run bin/standins engine --name "a$i" --listen "$address"
  tree+=",\"regions/r/d$((i % 3))/a$i\":{\"service\":\"assistant\",\"address\":\"$address\"}"
done
for i in $(seq "$workspaces"); do tree+=",\"workspaces/w$i\":{\"keyHash\":\"$(printf '%064x' "$i")\"}"; done
echo "$tree}" >"$work/tree.json"
vms="" operators=()
for i in $(seq 0 $((n - 1))); do
  port; caller=$address; port; peer=$address; port; operators+=("$address")
  echo "{\"name\":\"entry-$i\",\"region\":\"r\",\"failureDomain\":\"d$((i % 3))\",\"callerAddress\":\"$caller\",\"peerAddress\":\"$peer\",\"operatorAddress\":\"$address\",\"keyValueAddresses\":[\"http://$kv\"],\"vmListAddress\":\"http://$vmlist\",\"drainGraceMillis\":0}" >"$work/e$i.json"
  vms+="${vms:+,}{\"name\":\"entry-$i\",\"address\":\"$peer\",\"role\":\"entry\",\"region\":\"r\",\"failureDomain\":\"d$((i % 3))\",\"state\":\"live\"}"
done
bin/demo --wait "http://$kv/health"
bin/demo --wait "http://$vmlist/vms"
echo "{\"vms\":[$vms]}" | bin/demo --vmlist "http://$vmlist/vms"
for i in $(seq 0 $((n - 1))); do
  bin/coltsfootvalve serve --settings "$work/e$i.json" >"$work/e$i.log" 2>&1 & entry_pids+=($!)
done
for o in "${operators[@]}"; do bin/demo --wait "http://$o/status"; done
bin/coltsfootvalve settings apply "$work/tree.json" --node "http://${operators[0]}" >/dev/null
sleep "${SETTLE:-15}"

ticks() { local t=0 s; for p in "${entry_pids[@]}"; do s=($(cat "/proc/$p/stat")); t=$((t + s[13] + s[14])); done; echo "$t"; }
traffic() {
  local t=0 b
  for o in "${operators[@]}"; do
    b="$(bin/coltsfootvalve metrics --node "http://$o" | sed -nE 's/.*"peers.bytes(Read|Written)": ([0-9]+).*/\2/p' | paste -sd+)"
    t=$((t + b))
  done
  echo "$t"
}
bytes0="$(traffic)" ticks0="$(ticks)"
sleep "$seconds"
ticks1="$(ticks)" bytes1="$(traffic)"
rss=0
for p in "${entry_pids[@]}"; do rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$p/status"))); done
hz="$(getconf CLK_TCK)"
awk -v n="$n" -v s="$seconds" -v t=$((ticks1 - ticks0)) -v hz="$hz" -v b=$((bytes1 - bytes0)) -v r="$rss" -v w="$workspaces" 'BEGIN {
  printf "entries %d, workspaces %d: %.2f%% of a core, %.1f MB resident, %.0f bytes a second read and written with peers, each node\n",
    n, w, 100 * t / hz / s / n, r / 1024 / n, b / s / n }'
