#!/usr/bin/env bash
# Runs the formatter check and the linter. Prints their findings and exits non-zero if there are any.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v _generated)
if ! clang-format --dry-run --Werror "${files[@]}" 2>build/format.log; then
  echo "format: run 'make format'"; grep -E 'error' build/format.log | head; status=1
fi
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
if ! printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet >build/tidy.log 2>/dev/null; then
  echo "lint:"; grep -E 'error:|warning:' build/tidy.log | sort -u | head -40; status=1
fi
exit $status
