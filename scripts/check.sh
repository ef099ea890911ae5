#!/bin/bash
# Everything that must hold: the tests, the same under the address and undefined-behaviour
# sanitizers, formatter and linter, the model, and a short soak. Each counts. A line of KNOWN-RED.txt
# ("name: cause, issue") names a test that may fail; it is printed, and counted as failed.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
passed=0
failures=()

run_tests () { # build folder
  local program name code
  while read -r program; do
    name=${program#"$1"/}
    echo "== $1 $name"
    SWITCHMILL_BUILD=$(realpath "$1") timeout 900 "$program" > "$dir/log" 2>&1
    code=$?
    cat "$dir/log"
    passed=$((passed + $(grep -c '^\[       OK \]' "$dir/log")))
    mapfile -t failed < <(sed -n 's/^\[  FAILED  \] \([a-z_0-9]*\)$/\1/p' "$dir/log" | sort -u)
    # A program that ended badly without naming a test has failed as a whole.
    [ "$code" -eq 0 ] || [ ${#failed[@]} -gt 0 ] || failed=("$(basename "$name")")
    failures+=("${failed[@]}")
  done < <(find "$1" -name 'test-*' -type f -perm -u+x | sort)
}

run_script () { # name options...
  local name=$1
  echo "== $*"
  shift
  if "./scripts/$name.sh" "$@"; then passed=$((passed + 1)); else failures+=("$name"); fi
}

run_tests "$build"
run_script lint
run_script model
run_script soak --ci
[ -f build-sanitized/build.ninja ] ||
  meson setup build-sanitized -Db_sanitize=address,undefined >/dev/null
if ninja -C build-sanitized >"$dir/build" 2>&1; then
  # Processes that a test kills have no time to free what they hold.
  ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=halt_on_error=1 run_tests build-sanitized
else
  tail -20 "$dir/build"
  failures+=(build-sanitized)
fi

unknown=0
for name in "${failures[@]}"; do
  [ -n "$name" ] || continue
  if grep -qs "^$name:" KNOWN-RED.txt; then
    echo "known red: $(grep "^$name:" KNOWN-RED.txt)"
  else
    echo "failed: $name"
    unknown=$((unknown + 1))
  fi
done
count=0
for name in "${failures[@]}"; do [ -n "$name" ] && count=$((count + 1)); done
echo "$passed passed, $count failed"
[ "$unknown" -eq 0 ] && [ "$passed" -gt 0 ]
