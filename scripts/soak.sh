#!/bin/bash
# The fault soak: runs seeds of build/tests/soak, some beside each other.
#   soak.sh            the seeds of platform/soak/seeds.txt that once failed, then 50 fresh ones
#   soak.sh COUNT      the same with so many fresh ones
#   soak.sh --ci       two fixed seeds, short, with bounds in time that a busy machine keeps too
# A seed that breaks a promise is printed with its line and the folder of its logs.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
export SWITCHMILL_BUILD=$(realpath "$build")
jobs=${JOBS:-3}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

one () { # slot seed options...
  local slot=$1 seed=$2
  shift 2
  FLEET_PORT_OFFSET=$(((slot + 1) * 1000)) timeout 600 "$build/tests/soak" --seed "$seed" "$@" \
    >"$dir/$seed.log" 2>&1 || cp "$dir/$seed.log" "$dir/$seed.failed"
  tail -n 1 "$dir/$seed.log" | grep '^soak' || grep -h '^soak\|^broken\|^logs' "$dir/$seed.log" || tail -n 3 "$dir/$seed.log"
}

run_seeds () { # options... -- seeds...
  local options=() seeds=() slot=0
  while [ "$1" != -- ]; do options+=("$1"); shift; done
  shift
  seeds=("$@")
  for ((slot = 0; slot < jobs; slot++)); do
    (for ((i = slot; i < ${#seeds[@]}; i += jobs)); do one "$slot" "${seeds[i]}" "${options[@]}"; done) &
  done
  wait
}

if [ "${1:-}" = --ci ]; then
  jobs=1 run_seeds --seconds 6 --slack 20 -- 1 2
else
  mapfile -t old < <(grep -v '^#' platform/soak/seeds.txt | cut -d' ' -f1)
  fresh=()
  for ((i = 0; i < ${1:-50}; i++)); do fresh+=($((RANDOM * 32768 + RANDOM))); done
  run_seeds -- "${old[@]}" "${fresh[@]}"
fi
failed=$(find "$dir" -name '*.failed' | wc -l)
total=$(find "$dir" -name '*.log' | wc -l)
echo "soak: $((total - failed)) seeds kept all promises, $failed did not"
[ "$failed" -eq 0 ] && [ "$total" -gt 0 ]
