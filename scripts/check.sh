#!/bin/bash
# Runs all checks: the tests, also under the address and undefined-behaviour sanitizers,
# formatter and linter, the models, and a short soak. A line of KNOWN-RED.txt ("name: cause,
# issue") names a test that may fail; it is printed and counted as failed.
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
    # A program that failed without naming a test is recorded under its own name.
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
  # Leak detection is off, because processes killed by a test cannot free their memory.
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
