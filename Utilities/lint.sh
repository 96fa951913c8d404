#!/usr/bin/env bash
# Checks formatting and runs the linter over every source: lint.sh [FILE...].
set -euo pipefail
cd "$(dirname "$0")/.."
if (($#)); then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' '*.h')
fi
clang-format --dry-run -Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
    [[ $file == *.cpp ]] && sources+=("$file")
done
printf '%s\n' "${sources[@]}" | xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet -p build/default
