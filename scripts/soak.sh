#!/bin/bash
# Fault injection soak: runs build/tests/soak with several seeds, JOBS (default 3) in parallel.
#   soak.sh            the seeds in platform/soak/seeds.txt that failed before, then 50 random ones
#   soak.sh COUNT      the same with COUNT random ones
#   soak.sh --ci       three fixed seeds, short, with time limits that a busy machine meets
# For a seed that violates an invariant it prints the violation and the folder of the logs.
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
  # Long enough for the promises on what targets name in their answers.
  jobs=1 run_seeds --seconds 14 --slack 20 -- 7
else
  mapfile -t old < <(grep -v '^#' platform/soak/seeds.txt | cut -d' ' -f1)
  fresh=()
  for ((i = 0; i < ${1:-50}; i++)); do fresh+=($((RANDOM * 32768 + RANDOM))); done
  run_seeds -- "${old[@]}" "${fresh[@]}"
fi
failed=$(find "$dir" -name '*.failed' | wc -l)
total=$(find "$dir" -name '*.log' | wc -l)
echo "soak: $((total - failed)) seeds passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$total" -gt 0 ]
