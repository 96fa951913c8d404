#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md and rewrites its tables between their markers.
#
# Usage: Utilities/capacity.sh [--sections "LIST"] [--processes N] [--adapters N] [--seeds N]
#                              [--real "SIZES"] [--seconds N] [--port N]
#
#   --sections   Which tables: budget messages fleet rules shares spread faults start
#                processes [default: all]. Unnamed ones keep what the page has.
#   --processes  Most processes in virtual time [default: 1720].
#   --adapters   Most adapters; rules are measured up to twice as many [default: 47000].
#   --seeds      Seeds for each row in virtual time [default: 5].
#   --real       Numbers of daemons on loopback, at most 250 [default: 10 50 100 200].
#   --seconds    Time over which the daemons are watched [default: 10].
#   --port       First of 4000 ports on loopback [default: 25000].
#
# Each table has 300 s and 4 GB; the daemons together half of the machine's memory.
set -euo pipefail
cd "$(dirname "$0")/.."

sections="budget messages fleet rules shares spread faults start processes"
processes=1720
adapters=47000
seeds=5
real="10 50 100 200"
seconds=10
port=25000
page=docs/CAPACITY.md
programs=$PWD/build/default
mostDaemons=250
sectionSeconds=300
sectionKilobytes=$((4 * 1024 * 1024))

usage() {
    sed -n '2,/^set /{/^set /d;s/^# \{0,1\}//;p}' "$0"
}

while (($#)); do
    case $1 in
    --sections) sections=$2 ;;
    --processes) processes=$2 ;;
    --adapters) adapters=$2 ;;
    --seeds) seeds=$2 ;;
    --real) real=$2 ;;
    --seconds) seconds=$2 ;;
    --port) port=$2 ;;
    --help) usage && exit 0 ;;
    *) usage >&2 && exit 64 ;;
    esac
    shift 2
done

work=$(mktemp -d)
pids=()
stopDaemons() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}
trap 'stopDaemons; rm -rf "$work"' EXIT

launch() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
}

roleOf() { (($1 % 4 == 0)) && echo entry || echo target; }

writeSettings() { # NUMBER
    local number=$1 role
    role=$(roleOf "$number")
    cat <<INI
[vm]
role = $role
vm = vm-$number
region = west
data_centre = dc-$((number % 13))

[link]
listen = tcp://127.0.0.1:$((port + 100 + number))

[platform]
key_value_url = http://127.0.0.1:$port
vm_list_url = http://127.0.0.1:$port/vms

[keys]
digest_secret = capacity-measurement

[observe]
log_level = error
listen = 127.0.0.1:$((port + 500 + number))
INI
    if [[ $role == entry ]]; then
        printf '\n[callers]\nlisten = 127.0.0.1:%d\n' $((port + 1000 + number))
    else
        printf '\n[target]\ngroup = records\nengine = false\nurl = http://127.0.0.1:%d\n' $((port + 1))
    fi
}

writeVmList() { # COUNT
    local number role group rows=()
    for ((number = 0; number < $1; ++number)); do
        role=$(roleOf "$number")
        group=$([[ $role == target ]] && echo records || true)
        rows+=("$(printf '{"name":"vm-%d","region":"west","data_centre":"dc-%d","role":"%s","address":"tcp://127.0.0.1:%d","group":"%s","state":"live"}' \
            "$number" $((number % 13)) "$role" $((port + 100 + number)) "$group")")
    done
    local IFS=,
    printf '{"vms":[%s]}\n' "${rows[*]}"
}

# One line for each daemon: pid, processor ticks so far, resident KB, bytes sent and received so far.
sample() {
    ss -tinOpH 2>/dev/null | awk -v wanted="${pids[*]}" '
        BEGIN { count = split(wanted, list, " "); for (i = 1; i <= count; ++i) known[list[i]] = 1 }
        {
            if (!match($0, /pid=[0-9]+/)) next
            pid = substr($0, RSTART + 4, RLENGTH - 4)
            if (!(pid in known)) next
            if (match($0, /bytes_sent:[0-9]+/)) bytes[pid] += substr($0, RSTART + 11, RLENGTH - 11)
            if (match($0, /bytes_received:[0-9]+/)) bytes[pid] += substr($0, RSTART + 15, RLENGTH - 15)
        }
        END { for (pid in bytes) print pid, bytes[pid] }' >"$work/bytes"
    local pid
    for pid in "${pids[@]:2}"; do
        echo "$pid $(awk '{print $14 + $15}' "/proc/$pid/stat") $(awk '/VmRSS/{print $2}' "/proc/$pid/status") $(awk -v pid="$pid" '$1 == pid {print $2}' "$work/bytes")"
    done
}

summarise() { # ROLE REMAINDERS COUNT, rows on standard input: number ticks kilobytes bytes
    awk -v role="$1" -v count="$2" -v seconds="$seconds" -v hertz="$(getconf CLK_TCK)" '
        (role == "entry") == ($1 % 4 == 0) {
            ++n; ticks += $2; kilobytes += $3; bytes += $4
            if ($3 > most) most = $3
            if ($4 > mostBytes) mostBytes = $4
        }
        END {
            printf "| %d | %s | %.1f | %.1f | %.2f%% | %.1f | %.1f |\n", count, role,
                kilobytes / n / 1024, most / 1024, 100 * ticks / n / hertz / seconds,
                bytes / n / seconds / 1000, mostBytes / seconds / 1000
        }'
}

measureDaemons() { # COUNT
    local count=$1 number total half
    writeVmList "$count" >"$work/vms.json"
    launch platform "$programs/Tests/StandIns/standin-platform" --port="$port" --vms="$work/vms.json"
    launch records "$programs/Tests/StandIns/standin-service" --port=$((port + 1)) --name=records
    sleep 1
    for ((number = 0; number < count; ++number)); do
        writeSettings "$number" >"$work/$number.ini"
        launch "vm-$number" "$programs/eelgrasscoved" --settings "$work/$number.ini"
    done
    sleep $((10 + count / 20))
    sample >"$work/before"
    sleep "$seconds"
    sample >"$work/after"
    total=$(awk '{sum += $3} END {print sum}' "$work/after")
    half=$(awk '/MemTotal/{print int($2 / 2)}' /proc/meminfo)
    if ((total > half)); then
        echo "the daemons take $total KB, over half of the memory" >&2
        return 1
    fi
    paste -d' ' "$work/before" "$work/after" |
        awk '{print NR - 1, $6 - $2, $7, $8 - $4}' >"$work/rows"
    summarise entry "$count" <"$work/rows"
    summarise target "$count" <"$work/rows"
    stopDaemons
}

measureProcesses() {
    local count
    echo "| daemons | role | resident, MB | most, MB | share of a core | KB/s in and out | most, KB/s |"
    echo "|---|---|---|---|---|---|---|"
    for count in $real; do
        ((count <= mostDaemons)) || { echo "at most $mostDaemons daemons" >&2 && return 64; }
        measureDaemons "$count"
    done
}

measure() { # SECTION
    if [[ $1 == processes ]]; then
        measureProcesses
        return
    fi
    (
        ulimit -v "$sectionKilobytes"
        timeout "$sectionSeconds" "$programs/Tests/Capacity/capacity" "$1" \
            --processes "$processes" --adapters "$adapters" --seeds "$seeds"
    )
}

# Puts the file's text between the markers of a section.
rewrite() { # SECTION FILE
    awk -v begin="<!-- begin $1 -->" -v end="<!-- end $1 -->" -v table="$2" '
        $0 == begin { print; while ((getline line < table) > 0) print line; skipping = 1; next }
        $0 == end { skipping = 0 }
        !skipping { print }' "$page" >"$work/page"
    cp "$work/page" "$page"
}

for section in $sections; do
    echo "measuring $section" >&2
    measure "$section" >"$work/$section.md"
    grep -q "<!-- begin $section -->" "$page" || { echo "$page has no place for $section" >&2 && exit 1; }
    rewrite "$section" "$work/$section.md"
done
