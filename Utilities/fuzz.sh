#!/usr/bin/env bash
# Runs each fuzz target for a bounded time: fuzz.sh [SECONDS]. Needs clang++ with libFuzzer.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
build=build/fuzz
mkdir -p "$build"

# run NAME SEEDS SOURCE...: builds the target from the sources it needs, and runs it.
run() {
    local name=$1 seeds=$2
    shift 2
    clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined \
        -Iinclude -ISource "Tests/Fuzz/$name.cpp" "$@" -o "$build/$name" -lfmt -lcrypto -linih
    mkdir -p "$build/$name-corpus"
    "$build/$name" -max_total_time="$seconds" -max_len=4096 -rss_limit_mb=1024 -print_final_stats=1 \
        -artifact_prefix="$build/$name-" "$build/$name-corpus" "$seeds" 2>&1 |
        grep -E 'number_of_executed_units|ERROR|SUMMARY|Test unit written' | sed "s/^/$name: /"
}

run rulefilefuzz Tests/Contract Source/Contract/{rulefile,rulequery,keydigest}.cpp
run settingsfuzz docs/examples Source/Vm/{inifile,settings}.cpp Source/Operator/operatorsettings.cpp
run platformfuzz Tests/Fuzz/Seeds/platform Source/Platform/{etcdjson,base64,rulehead}.cpp \
    Source/Contract/{claimrecord,keydigest}.cpp Source/Operator/processstatus.cpp
