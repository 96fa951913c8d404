#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libserving.a ] || { echo "review/build-2.sh: build the deploy file first" >&2; exit 1; }
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
    "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -Iinclude -ISource -I. "$source" \
        -o "target/review-2/$(basename "$source" .cc)" target/libserving.a \
        -luv -lhttp_parser -lfmt -lsodium -lxxhash -linih -ldocopt
done
