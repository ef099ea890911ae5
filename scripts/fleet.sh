# Functions to start a small fleet on loopback, for demo.sh and bench.sh. When the script
# exits, all processes started here are killed by process id.
build=${BUILD:-build}
dir=$(mktemp -d)
pids=()
export SWITCHMILL_NODE=127.0.0.1:7100 SWITCHMILL_TOKEN=script-operator-token
mill=$build/client/switchmill
platform=127.0.0.1:7900

finish () {
  stop_all
  rm -rf "$dir"
}
trap finish EXIT
trap 'exit 130' INT TERM

start () { "$@" >>"$dir/log" 2>&1 & pids+=("$!"); }

start_platform () { start "$build/standins/standin-platform" "$platform"; }

start_target () { # index slots latency_ms
  start "$build/standins/standin-target" "127.0.0.1:$((7300 + $1))" "$2" "$3" "$1"
}

start_node () { # index vm hall
  cat > "$dir/$2.json" <<J
{"node":"$2","hall":"$3",
 "listen":{"callers":"127.0.0.1:$((7000 + $1))","operators":"127.0.0.1:$((7100 + $1))","nodes":"127.0.0.1:$((7200 + $1))"},
 "platform":"$platform","fleet_token":"script-fleet-token-1","peers":["127.0.0.1:7200","127.0.0.1:7201"],
 "operators":[{"name":"gwen","token":"$SWITCHMILL_TOKEN"}]}
J
  start "$build/daemon/switchmilld" "$dir/$2.json"
}

target_json () { # name vm hall index slots
  printf '{"name":"%s","vm":"%s","hall":"%s","address":"127.0.0.1:%d","slots":%d}' "$1" "$2" "$3" $((7300 + $4)) "$5"
}

control () { # port path: sends a request to a target stand-in, prints the body's first line
  exec 3<>"/dev/tcp/127.0.0.1/$1"
  printf 'GET %s HTTP/1.1\r\nContent-Length: 0\r\n\r\n' "$2" >&3
  head -n 5 <&3 | tail -n 1
  exec 3>&-
}

status_of () { "$mill" -n "127.0.0.1:$((7100 + $1))" --json status 2>/dev/null; }

# grep must read all input: with pipefail a SIGPIPE of the status command would be a failure.
await_ready () { # node...
  for i in "$@"; do until status_of "$i" | grep '"ready" : true' >/dev/null; do sleep 0.05; done; done
}

metric_of () { # node name
  curl -s -H "Authorization: Bearer $SWITCHMILL_TOKEN" "127.0.0.1:$((7100 + $1))/metrics" |
    awk -v n="$2" '$1 ~ "^" n { s += $2 } END { print s + 0 }'
}

await_generation () { # generation node...
  local generation=$1
  shift
  for i in "$@"; do
    until [ "$(metric_of "$i" switchmill_config_generation)" -ge "$generation" ]; do sleep 0.02; done
  done
}

stop_all () {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
