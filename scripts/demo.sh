#!/usr/bin/env bash
# Runs a demo fleet as separate processes on free loopback ports: four entries in three
# failure domains, and stand-ins for the engines, the orders service, the key-value store
# and the VM list. Prints a table and exits non-zero if a line differs from what is expected.
set -euo pipefail
cd "$(dirname "$0")/.."

go build -o bin/ . ./standins ./scripts/demo
work="$(mktemp -d)"
declare -a pids=() entry_pids=()
cleanup() {
  code=$?
  if [ "$code" -ne 0 ]; then tail -n 20 "$work"/*.log; fi
  for pid in "${pids[@]}" "${entry_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

mapfile -t ports < <(bin/demo --ports 24)
next=0
port() { address="127.0.0.1:${ports[$next]}"; next=$((next + 1)); }
run() { "$@" >>"$work/standins.log" 2>&1 & pids+=($!); }

port; kv=$address; run bin/standins kv --listen "$kv"
port; vmlist=$address; run bin/standins vmlist --listen "$vmlist" --lag 200ms

key="demo-key"
hash="$(echo "$key" | bin/coltsfootvalve hash-key)"
tree="{\"root\":{\"coldSlots\":2,\"warmSlots\":8,\"rampStepMillis\":300},"
tree+="\"services/assistant\":{},\"services/orders\":{\"kind\":\"plain\"},"
tree+="\"workspaces/chamber\":{\"keyHash\":\"$hash\"}"
for domain in rosario cordoba baires; do
  for n in 1 2; do
    port; run bin/standins engine --name "$domain-a$n" --listen "$address" --cold-for 2s
    tree+=",\"regions/pampeana/$domain/a$n\":{\"service\":\"assistant\",\"address\":\"$address\"}"
  done
done
order_services=()
for domain in rosario cordoba; do
  port; order_services+=(--desk "$address"); run bin/standins plain --name "$domain-o1" --listen "$address"
  tree+=",\"regions/pampeana/$domain/o1\":{\"service\":\"orders\",\"address\":\"$address\"}"
done
echo "$tree}" >"$work/tree.json"

vms=""
entries=()
operators=()
domains=(rosario cordoba baires rosario)
for i in 0 1 2 3; do
  port; caller=$address
  port; peer=$address
  port; operator=$address
  entries+=(--entry "$caller")
  operators+=(--operator "$operator")
  cat >"$work/entry-$i.json" <<JSON
{"name": "entry-$i", "region": "pampeana", "failureDomain": "${domains[$i]}",
 "callerAddress": "$caller", "peerAddress": "$peer", "operatorAddress": "$operator",
 "keyValueAddresses": ["http://$kv"], "vmListAddress": "http://$vmlist",
 "drainGraceMillis": 200, "drainLimitMillis": 10000}
JSON
  vms+="${vms:+,}{\"name\":\"entry-$i\",\"address\":\"$peer\",\"role\":\"entry\",\"region\":\"pampeana\",\"failureDomain\":\"${domains[$i]}\",\"state\":\"live\"}"
done
bin/demo --wait "http://$kv/health"
bin/demo --wait "http://$vmlist/vms"
echo "{\"vms\":[$vms]}" | bin/demo --vmlist "http://$vmlist/vms"
for i in 0 1 2 3; do
  bin/coltsfootvalve check --settings "$work/entry-$i.json" >/dev/null
  bin/coltsfootvalve serve --settings "$work/entry-$i.json" >"$work/entry-$i.log" 2>&1 &
  entry_pids+=($!)
done
for i in 1 3 5 7; do bin/demo --wait "http://${operators[$i]}/status"; done

export COLTSFOOTVALVE_NODE="http://${operators[1]}"
bin/coltsfootvalve settings apply "$work/tree.json" --author demo
for i in 1 3 5 7; do bin/demo --wait "http://${entries[$i]}/ready"; done
sleep 4 # an entry recognises no owner within one lease duration of its start

bin/demo "${entries[@]}" "${operators[@]}" "${order_services[@]}" --key "$key"

echo
echo "Operators' commands:"
operate() { echo "\$ coltsfootvalve $*"; bin/coltsfootvalve "$@"; }
operate explain prompt-returns --node "http://${operators[5]}"
for i in 1 3 5 7; do operate status --node "http://${operators[$i]}"; done
operate settings set services/assistant queueMillis 1500
operate domain drain pampeana/cordoba
operate domain return pampeana/cordoba
operate settings explain regions/pampeana/cordoba
operate settings history
operate settings set services/assistant activeVersion v1
operate move start assistant v2 --within 10m
operate move status
operate move takeBack assistant
operate metrics >/dev/null
operate log-level debug
if operate settings set root coldSlots 0; then
  echo "an invalid value was accepted"
  exit 1
fi

echo
echo "Load on all entries while entry-2 is paused for three seconds:"
bin/demo "${entries[@]}" --key "$key" --load 350 &
load=$!
sleep 0.3
kill -STOP "${entry_pids[2]}"
sleep 3
kill -CONT "${entry_pids[2]}"
wait "$load"

echo
echo "Load on all entries while entry-3 is killed:"
bin/demo "${entries[@]}" --key "$key" --load 200 --killed &
load=$!
sleep 0.7
kill -9 "${entry_pids[3]}"
wait "$load"

echo
for i in 0 1 2; do
  kill -TERM "${entry_pids[$i]}"
  if wait "${entry_pids[$i]}"; then
    echo "entry-$i stopped gracefully"
  else
    echo "entry-$i did not stop gracefully"
    exit 1
  fi
done
