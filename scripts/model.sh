#!/bin/bash
# Checks the specifications with Spin. To show that the checks are effective, Spin must find
# a violation when any single safeguard is disabled.
set -euo pipefail
cd "$(dirname "$0")/../model"
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
check () { # file macro...
  local file=$1
  shift
  (cd "$dir" && rm -f pan* ./*.trail
   spin "$@" -a "$OLDPWD/$file.pml" >/dev/null
   gcc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
   ./pan -m200000 > out 2>&1
   grep -q 'errors: 0' out)
}
depth_exceeded () { grep -q 'max search depth too small' "$dir/out"; }
specification () { # file macro...: must hold, and must fail with each macro defined
  local file=$1 macro
  shift
  check "$file" || { cat "$dir/out"; echo "the specification $file is violated"; exit 1; }
  depth_exceeded && { echo "the search exceeded the depth limit"; exit 1; }
  grep -E 'states, stored' "$dir/out" | sed "s/^ */the complete specification $file holds: /"
  for macro in "$@"; do
    if check "$file" "-D$macro"; then
      echo "$macro: no violation found, so the check does not cover this safeguard"; exit 1
    fi
    grep -q 'assertion violated' "$dir/out" || { cat "$dir/out"; exit 1; }
    echo "$macro: violation found"
  done
}
specification fence NO_TOMBSTONE NO_INCARNATION NO_START_RECORD NO_WINDOW NO_REFUSE_RECORD NO_PROOF
specification allowance NO_EMPTY_START NO_EMPTY_MOVE NO_LAPSE NO_STOP
specification era NO_WATCH_ERA NO_CONDITION_ERA NO_PUT_BACK
