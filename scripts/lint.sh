#!/bin/bash
# Runs the formatter and the linter. Any finding is a failure.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
mapfile -t sources < <(git ls-files '*.c' '*.h' | grep -v '/gen/')
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.c$')
clang-format-14 --dry-run -Werror "${sources[@]}"
# One file per run, because clang-tidy 14 reuses its va_list type for the next file.
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy-14 -p "$build" --quiet 2>/dev/null |
  { ! grep -E 'error:|warning:'; }
echo "formatter and linter passed"
