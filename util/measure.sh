#!/usr/bin/env bash
# Runs all experiments, or the named ones. Prints the figures; writes CSV files and plots to build/measure.
set -euo pipefail
cd "$(dirname "$0")/.."
ulimit -n "$(ulimit -Hn)"
exec ./build/goldcrest_measure "$@"
