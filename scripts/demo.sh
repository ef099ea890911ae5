#!/bin/bash
# The two users' deployments in small: real requests, a gray payment target, a drain.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
dir=$(mktemp -d)
pids=()
finish () {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -n "${KEEP:-}" ] && cp "$dir/log" /tmp/demo.log; rm -rf "$dir"
}
trap finish EXIT
say () { printf '\n== %s\n' "$*"; }
token=demo-operator-token
platform=127.0.0.1:7900
start () { "$@" 2>>"$dir/log" & pids+=("$!"); }

# service hall-of-each-vm...; each target on a VM of its own, as in the field.
vms=()
targets_of () { # service slots latency_ms hall...
  local service=$1 slots=$2 latency=$3 n=0 list="" hall
  shift 3
  for hall in "$@"; do
    n=$((n + 1))
    local i=${#vms[@]} vm="vm-$service-$n"
    vms+=("$vm $hall")
    start "$build/standins/standin-target" "127.0.0.1:$((7300 + i))" "$slots" "$latency" "$i"
    list+="${list:+,}{\"name\":\"$service-$n\",\"vm\":\"$vm\",\"hall\":\"$hall\",\"address\":\"127.0.0.1:$((7300 + i))\",\"slots\":$slots}"
  done
  targets=$list
}
node_settings () {
  local i=$1 vm=$2 hall=$3
  cat > "$dir/$vm.json" <<J
{"node":"$vm","hall":"$hall",
 "listen":{"callers":"127.0.0.1:$((7000 + i))","operators":"127.0.0.1:$((7100 + i))","nodes":"127.0.0.1:$((7200 + i))"},
 "platform":"$platform","fleet_token":"demo-fleet-token-1","peers":["127.0.0.1:7200","127.0.0.1:7201"],
 "operators":[{"name":"gwen","token":"$token"}]}
J
}

say "Starting the platform's stand-in, 11 targets, and one node beside each"
start "$build/standins/standin-platform" "$platform"
targets_of stondin 10 4 Llandeilo Caerfyrddin Aberhonddu; stondin=$targets
targets_of taliad 10 6 Llandeilo Caerfyrddin Aberhonddu; taliad=$targets
targets_of notice-desk 5 5 Bole Kirkos Lideta; notices=$targets
targets_of bid-engine 5 8 Bole Kirkos; bids=$targets
for i in "${!vms[@]}"; do
  read -r vm hall <<<"${vms[$i]}"
  node_settings "$i" "$vm" "$hall"
  start "$build/daemon/switchmilld" "$dir/$vm.json"
done
export SWITCHMILL_NODE=127.0.0.1:7100 SWITCHMILL_TOKEN=$token
mill=$build/client/switchmill
until "$mill" --json status 2>/dev/null | grep -q '"ready" : true'; do sleep 0.1; done

say "An operator states what is wanted; the plan; its confirmation"
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
for i in "${!vms[@]}"; do
  until "$mill" -n "127.0.0.1:$((7100 + i))" --json status | grep -q '"generation" : 1'; do sleep 0.1; done
done
echo "in force on all ${#vms[@]} nodes"

urls=(); for i in "${!vms[@]}"; do urls+=(-u "127.0.0.1:$((7000 + i))"); done
load () {
  "$build/standins/standin-load" "${urls[@]}" \
    -c pitch-map:GET:/stondin/map:6:0 -c booking:POST:/stondin/book:2:300 \
    -c payment:POST:/taliad/pay:3:400 -c fees:GET:/taliad/fees:3:0 \
    -c browse:GET:/notices:4:0 -c price-check:GET:/bids/price:3:0 -c bid:POST:/bids/submit:1:2000 "$@"
}
control () { exec 3<>"/dev/tcp/127.0.0.1/$1"; printf 'GET %s HTTP/1.1\r\nContent-Length: 0\r\n\r\n' "$2" >&3; head -n 5 <&3 | tail -n 1; exec 3>&-; }

say "Four seconds of work with all targets well"
load -n 24 -t 4

say "taliad-2 turns gray: its health answer stays good, 4 of 10 real requests fail"
control 7304 '/_control?error_percent=40' >/dev/null
load -n 24 -t 5
"$mill" target | grep -E 'TARGET|taliad'
"$mill" service | grep -E 'SERVICE|taliad'
"$mill" -n 127.0.0.1:7104 events | grep target- || true

say "stondin-3 is drained while work goes on"
load -n 24 -t 4 & loader=$!
sleep 1
"$mill" --yes drain stondin-3
wait "$loader"
"$mill" target | grep -E 'TARGET|stondin'

say "A plan that would break a floor is refused"
"$mill" --yes drain taliad-1 && { echo "it was not refused"; exit 1; } || true

say "What ran twice, by target"
for i in "${!vms[@]}"; do read -r vm _ <<<"${vms[$i]}"; printf '%-18s %s\n' "$vm" "$(control $((7300 + i)) /_runs)"; done
