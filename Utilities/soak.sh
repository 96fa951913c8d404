#!/usr/bin/env bash
# Soaks the real programs: soak.sh [--seed N] [--count K] [--minutes M | --seconds S] [--processes P].
# Plays K seeds from N on; logs of a seed that failed stay in out/soak/SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$((RANDOM * 32768 + RANDOM)) count=1 seconds=20 processes=3
while (($#)); do
    case $1 in
    --seed) seed=$2 ;;
    --count) count=$2 ;;
    --minutes) seconds=$(($2 * 60)) ;;
    --seconds) seconds=$2 ;;
    --processes) processes=$2 ;;
    *) echo "soak.sh: unknown option $1; see its first lines" >&2 && exit 2 ;;
    esac
    shift 2
done
failed=0
for ((each = seed; each < seed + count; ++each)); do
    logs=out/soak/$each
    mkdir -p "$logs"
    if build/default/Tests/Soak/soak --edge build/default/eelgrasscove-edge --seed "$each" \
        --seconds "$seconds" --processes "$processes" --logs "$logs" | tee "$logs/result.txt"; then
        rm -r "$logs"
    else
        failed=$((failed + 1))
        echo "  again: Utilities/soak.sh --seed $each --seconds $seconds --processes $processes; logs in $logs"
    fi
done
echo "$((count - failed)) passed, $failed failed"
((failed == 0))
