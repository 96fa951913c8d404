#!/usr/bin/env bash
# Runs each fuzz target for a number of inputs from a fixed seed: fuzz.sh [INPUTS [SEED]].
# With the same two numbers and compiler the inputs are the same.
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-20000}
seed=${2:-1}
build=build/fuzz
mkdir -p "$build"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# run NAME SEEDS SOURCE...: builds the target from the sources it needs, and runs it.
run() {
    local name=$1 seeds=$2 fault
    shift 2
    clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined \
        -Iinclude -ISource "Tests/Fuzz/$name.cpp" "$@" -o "$build/$name" -lfmt -lcrypto -lsodium -linih
    mkdir "$scratch/$name"
    if ! "$build/$name" -runs="$inputs" -seed="$seed" -max_len=4096 -rss_limit_mb=1024 \
        -print_final_stats=1 -artifact_prefix="$build/$name-" "$scratch/$name" "$seeds" \
        >"$build/$name.log" 2>&1; then
        fault=1
    fi
    grep -E 'number_of_executed_units|ERROR|SUMMARY|Test unit written' "$build/$name.log" | sed "s/^/$name: /"
    return "${fault:-0}"
}

# Five builds side by side; one fault fails them all.
jobs=()
run rulefilefuzz Tests/Contract Source/Contract/{rulefile,rulequery,keydigest}.cpp & jobs+=($!)
run settingsfuzz docs/examples Source/Vm/{inifile,settings}.cpp Source/Operator/operatorsettings.cpp & jobs+=($!)
run platformfuzz Tests/Fuzz/Seeds/platform Source/Platform/{etcdjson,base64,rulehead}.cpp \
    Source/Contract/{claimrecord,keydigest}.cpp Source/Operator/processstatus.cpp & jobs+=($!)
run messagefuzz Tests/Fuzz/Seeds/message Source/Link/messagecodec.cpp & jobs+=($!)
run callerfuzz Tests/Fuzz/Seeds/caller Source/Caller/{completion,apierror}.cpp Source/Observe/{trace,log}.cpp & jobs+=($!)
result=0
for job in "${jobs[@]}"; do
    wait "$job" || result=1
done
exit "$result"
