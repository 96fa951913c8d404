#!/usr/bin/env bash
# Builds and runs the benchmark of the decisions; its tables go to standard output: bench.sh [OPTION...].
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/packages.sh
cmake --preset default >/dev/null
cmake --build --preset default --target bench >/dev/null
build/default/Tests/Bench/bench "$@"
