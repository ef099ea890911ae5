#!/bin/bash
# Checks the specifications with Spin, and that the checks have teeth: with any one
# safeguard taken out Spin must find a violation.
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
specification () { # file macro...: holds whole, and not without any one safeguard
  local file=$1 macro
  shift
  check "$file" || { cat "$dir/out"; echo "the specification $file does not hold"; exit 1; }
  depth_exceeded && { echo "the search was cut short"; exit 1; }
  grep -E 'states, stored' "$dir/out" | sed "s/^ */whole specification of the $file holds: /"
  for macro in "$@"; do
    if check "$file" "-D$macro"; then
      echo "$macro: no violation found, so the check has no teeth there"; exit 1
    fi
    grep -q 'assertion violated' "$dir/out" || { cat "$dir/out"; exit 1; }
    echo "$macro: violation found"
  done
}
specification fence NO_TOMBSTONE NO_INCARNATION NO_START_RECORD NO_WINDOW NO_REFUSE_RECORD NO_PROOF
specification allowance NO_EMPTY_START NO_EMPTY_MOVE NO_LAPSE NO_STOP
specification era NO_WATCH_ERA NO_CONDITION_ERA NO_PUT_BACK
