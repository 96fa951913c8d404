#!/usr/bin/env bash
# Runs the program of a case: run-case.sh PROGRAM FOLDER-OF-THE-CASE. Ends all processes it started.
# KEEP_LOGS=FOLDER keeps the edges' logs.
set -u
cd "$(dirname "$0")/../.."
program=target/review/$1 edge=target/eelgrasscove-edge record=$2/record.txt
if [ ! -x "$program" ] || [ ! -x "$edge" ]; then
    echo "build the deploy file and run review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
driver=
finish() {
    [ -n "$driver" ] && kill "$driver" 2>/dev/null && wait "$driver"
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            # Only if it is still the program that was started.
            [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$(readlink -f "$edge")" ] && kill -KILL "$pid"
        done <"$folder/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$folder"/*.log "$KEEP_LOGS"; fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout --kill-after=2 115 "$program" "$edge" "$folder" "$record" "${TROUBLE:-1}" &
driver=$!
wait "$driver"
result=$?
driver=
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
