#!/bin/bash
# Demonstrates small versions of the two users' deployments: requests, a payment target with
# a partial failure, and a drain.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
say () { printf '\n== %s\n' "$*"; }
vms=()

targets_of () { # service slots latency_ms hall...: starts a target on its own VM in each hall
  local service=$1 slots=$2 latency=$3 n=0 hall
  shift 3
  targets=""
  for hall in "$@"; do
    n=$((n + 1))
    local i=${#vms[@]} vm="vm-$service-$n"
    vms+=("$vm $hall")
    start_target "$i" "$slots" "$latency"
    targets+="${targets:+,}$(target_json "$service-$n" "$vm" "$hall" "$i" "$slots")"
  done
}

say "Starting the platform stand-in, 11 targets, and one node per target"
start_platform
targets_of stondin 10 4 Llandeilo Caerfyrddin Aberhonddu; stondin=$targets
targets_of taliad 10 6 Llandeilo Caerfyrddin Aberhonddu; taliad=$targets
targets_of notice-desk 5 5 Bole Kirkos Lideta; notices=$targets
targets_of bid-engine 5 8 Bole Kirkos; bids=$targets
for i in "${!vms[@]}"; do
  read -r vm hall <<<"${vms[$i]}"
  start_node "$i" "$vm" "$hall"
done
await_ready "${!vms[@]}"

say "An operator submits a configuration; the plan is shown and confirmed"
cat > "$dir/intent.json" <<J
{"services":[
 {"name":"stondin","tenant":"wales","floor_slots":20,"detection":"careful","queue":20,"targets":[$stondin]},
 {"name":"taliad","tenant":"wales","floor_slots":20,"detection":"careful","queue":20,"targets":[$taliad]},
 {"name":"notice-desk","tenant":"addis","floor_slots":10,"detection":"quick","queue":20,"targets":[$notices]},
 {"name":"bid-engine","tenant":"addis","floor_slots":5,"detection":"quick","queue":20,"targets":[$bids]}],
"routes":[
 {"prefix":"/stondin","service":"stondin","class":"pitch-map","priority":1},
 {"prefix":"/stondin/book","service":"stondin","class":"booking","methods":["POST"],"priority":0},
 {"prefix":"/taliad/pay","service":"taliad","class":"payment","methods":["POST"],"priority":0},
 {"prefix":"/taliad/fees","service":"taliad","class":"fees","priority":1},
 {"prefix":"/notices","service":"notice-desk","class":"browse","priority":2},
 {"prefix":"/bids/price","service":"bid-engine","class":"price-check","priority":1},
 {"prefix":"/bids/submit","service":"bid-engine","class":"bid","methods":["POST"],"priority":0}]}
J
"$mill" --yes plan "$dir/intent.json"
await_generation 1 "${!vms[@]}"
echo "applied on all ${#vms[@]} nodes"

urls=()
for i in "${!vms[@]}"; do urls+=(-u "127.0.0.1:$((7000 + i))"); done
load () {
  "$build/standins/standin-load" "${urls[@]}" \
    -c pitch-map:GET:/stondin/map:6:0 -c booking:POST:/stondin/book:2:300 \
    -c payment:POST:/taliad/pay:3:400 -c fees:GET:/taliad/fees:3:0 \
    -c browse:GET:/notices:4:0 -c price-check:GET:/bids/price:3:0 -c bid:POST:/bids/submit:1:2000 "$@"
}

say "Four seconds of load with all targets healthy"
load -n 24 -t 4

say "taliad-2 fails partially: health checks succeed, 4 of 10 requests fail"
control 7304 '/_control?error_percent=40' >/dev/null
load -n 24 -t 5
"$mill" target | grep -E 'TARGET|taliad'
"$mill" service | grep -E 'SERVICE|taliad'
"$mill" -n 127.0.0.1:7104 events | grep target- || true

say "stondin-3 is drained under load"
load -n 24 -t 4 & loader=$!
sleep 1
"$mill" --yes drain stondin-3
wait "$loader"
"$mill" target | grep -E 'TARGET|stondin'

say "A plan that would violate a floor is refused"
if "$mill" --yes drain taliad-1; then echo "error: the plan was not refused"; exit 1; fi

say "Requests executed by each target, and the number executed more than once"
for i in "${!vms[@]}"; do
  read -r vm _ <<<"${vms[$i]}"
  printf '%-18s %s\n' "$vm" "$(control $((7300 + i)) /_runs)"
done
