#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the build of the deploy file in target.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libserving.a ] || { echo "review/build.sh: build the deploy file first (target/libserving.a)" >&2; exit 1; }
mkdir -p target/review
for source in review/standins/*.cc; do
    program=target/review/$(basename "$source" .cc)
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -Iinclude -ISource -I. -Ireview/standins \
        "$source" -o "$program" target/libserving.a -luv -lhttp_parser -lfmt -lsodium -lxxhash -linih -ldocopt &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
