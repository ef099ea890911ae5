#!/bin/bash
# Checks the fence's specification with Spin, and that the check has teeth: with any one
# safeguard taken out Spin must find a violation.
set -euo pipefail
cd "$(dirname "$0")/../model"
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
check () { # macro...
  (cd "$dir" && rm -f pan* ./*.trail
   spin "$@" -a "$OLDPWD/fence.pml" >/dev/null
   gcc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
   ./pan -m200000 > out 2>&1
   grep -q 'errors: 0' out)
}
depth_exceeded () { grep -q 'max search depth too small' "$dir/out"; }
check || { cat "$dir/out"; echo "the specification does not hold"; exit 1; }
depth_exceeded && { echo "the search was cut short"; exit 1; }
grep -E 'states, stored' "$dir/out" | sed 's/^ */whole specification holds: /'
for macro in NO_TOMBSTONE NO_INCARNATION NO_START_RECORD NO_WINDOW NO_REFUSE_RECORD NO_PROOF; do
  if check "-D$macro"; then
    echo "$macro: no violation found, so the check has no teeth there"; exit 1
  fi
  grep -q 'assertion violated' "$dir/out" || { cat "$dir/out"; exit 1; }
  echo "$macro: violation found"
done
