#!/usr/bin/env bash
# Runs all experiments, or the named ones. Prints the figures; writes CSV files and plots to build/measure.
set -euo pipefail
cd "$(dirname "$0")/.."
# One experiment opens hundreds of streams at once.
ulimit -n "$(ulimit -Hn)"
exec ./build/goldcrest_measure "$@"
