#!/bin/bash
# Mutation tests: disables one safeguard at a time in a copy of the code and requires the
# named test program to fail. An argument, a regular expression, selects test programs.
# Each line of teeth.txt:
#   test program | file | sed expression that disables the safeguard | description
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r core wire io daemon client standins bench tests platform meson.build meson_options.txt "$copy"
(cd "$copy" && meson setup build >/dev/null) || exit 1
bitten=0
missed=0
while IFS='|' read -r program file expression what; do
  [[ $program = \#* || -z $program ]] && continue
  [[ $program =~ ${1:-.} ]] || continue
  program=${program// /}; file=${file// /}
  expression=$(sed 's/^ *//; s/ *$//' <<<"$expression")
  cp "$file" "$copy/$file"
  sed -i -E "$expression" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "NOT APPLIED: $what ($file)"; missed=$((missed + 1)); continue
  fi
  if ! ninja -C "$copy/build" > "$copy/log" 2>&1; then
    echo "DOES NOT BUILD: $what"; tail -5 "$copy/log"; missed=$((missed + 1))
  elif SWITCHMILL_BUILD="$copy/build" timeout 300 "$copy/build/$program" > "$copy/log" 2>&1; then
    echo "NOT DETECTED: $program passes without: $what"; missed=$((missed + 1))
  else
    echo "fails without: $what  [$(grep -o 'FAILED  \] test_[a-z_]*' "$copy/log" | head -1 | cut -c12-)]"
    bitten=$((bitten + 1))
  fi
  cp "$file" "$copy/$file"; touch "$copy/$file"
done < scripts/teeth.txt
echo "$bitten safeguards are covered by a test, $missed are not"
[ "$missed" -eq 0 ]
