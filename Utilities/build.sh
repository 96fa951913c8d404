#!/usr/bin/env bash
# Configures and builds one preset: build.sh [default|address|thread].
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-default}
bash Utilities/packages.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
