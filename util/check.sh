#!/usr/bin/env bash
# Runs the formatter check, the linter and all tests. The last line is "N passed, N failed", where
# formatter and linter together count as one.
set -uo pipefail
cd "$(dirname "$0")/.."
lint=0
bash util/lint.sh || lint=1
output=$(bash util/run_tests.sh)
code=$?
printf '%s\n' "$output" | sed '$d'
counts=$(printf '%s\n' "$output" | tail -1)
passed=${counts%% passed*}
failed=$(printf '%s' "$counts" | sed -E 's/.*, ([0-9]+) failed/\1/')
if [ "$lint" -eq 0 ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
echo "$passed passed, $failed failed"
[ "$code" -eq 0 ] && [ "$lint" -eq 0 ]
