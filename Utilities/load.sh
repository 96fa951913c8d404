#!/usr/bin/env bash
# Measures the whole path on loopback: mixed requests through both entries, each answer matched to its
# own call; the time the path adds to calling the engine; memory of the idle processes.
# load.sh [REQUESTS]
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/build.sh default >/dev/null
export EELGRASSCOVE_TOKEN_MS=${EELGRASSCOVE_TOKEN_MS:-0.2}
export EELGRASSCOVE_SPANS=false
source Utilities/fleet.sh
trap stopFleet EXIT
startFleet >/dev/null
requests=${1:-10000}

residentMegabytes() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$(cat "$work/$1.pid")/status"; }
# Voluntary context switches: what hand-overs cost, whatever else the machine does.
switches() { cat /proc/"$(cat "$work/$1.pid")"/task/*/status | awk '/^voluntary/ {sum += $2} END {print sum}'; }
cpuSeconds() { awk '{printf "%.2f", ($14 + $15) / 100}' "/proc/$(cat "$work/$1.pid")/stat"; }

echo "idle resident memory: entry $(residentMegabytes entry-1) MB, target process $(residentMegabytes runner-1) MB"
load=$programs/Tests/Load/load
entry1=127.0.0.1:$((basePort + 51))
entry2=127.0.0.1:$((basePort + 52))

echo "== mixed requests through both entries, 32 callers"
"$load" mix --entries=$entry1,$entry2 --key=$demoKey --requests="$requests" --callers=32
echo "== the same mix through one entry"
before=$(cpuSeconds entry-1)
switchesBefore=$(switches entry-1)
"$load" mix --entries=$entry1 --key=$demoKey --requests="$requests" --callers=32
echo "processor time of that entry: $(cpuSeconds entry-1 | awk -v before="$before" '{printf "%.2f", $1 - before}') s"
echo "context switches of that entry: $((($(switches entry-1) - switchesBefore) / requests)) a call"
echo "== one small call at a time, through an entry and straight to an engine"
"$load" added --entry=$entry1 --engine=127.0.0.1:$((basePort + 11)) --key=$demoKey --requests=2000 --callers=1
echo "resident memory after it: entry $(residentMegabytes entry-1) MB, target process $(residentMegabytes runner-1) MB"
