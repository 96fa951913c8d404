#!/usr/bin/env bash
# What one decision costs: times by Google Benchmark, then instructions a call, counted by callgrind as
# the difference between two numbers of calls; the tables go to standard output.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/packages.sh
cmake --preset default >/dev/null
cmake --build --preset default --target cost >/dev/null
program=build/default/Tests/Bench/cost
"$program" --benchmark_min_time=0.1
few=200
many=400
instructions() {
    valgrind --tool=callgrind --callgrind-out-file=/dev/null "$program" count "$1" "$2" "$3" 2>&1 |
        awk '/Collected/ { print $4 }'
}
printf '\n| instructions a call | 12, 3,000 | 60, 8,000 | 300, 20,000 | 1,300, 47,000 |\n|---|---|---|---|---|\n'
for name in admit route-resident route-cold enqueue transfer; do
    printf '| %s |' "$name"
    for size in 0 1 2 3; do
        first=$(instructions "$name" "$size" "$few")
        second=$(instructions "$name" "$size" "$many")
        printf ' %d |' $(((second - first) / (many - few)))
    done
    printf '\n'
done
