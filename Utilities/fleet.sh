#!/usr/bin/env bash
# The whole path on loopback, for Utilities/demo.sh and measurements; source it, then call startFleet.
# Every process is started here and ended by its own id.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
programs=$root/build/default
standins=$programs/Tests/StandIns
basePort=${EELGRASSCOVE_PORT:-20200}
work=$(mktemp -d)
secret=demo-digest-secret
demoKey=egc_0000000000000000000000000000000000000000000000000000000000000001
pids=()

# launch NAME COMMAND...: starts a process whose output goes to files named for it.
launch() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    echo $! >"$work/$name.pid"
}

stopFleet() {
    local pid
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}

# awaitUrl URL PATTERN: until the answer contains the pattern.
awaitUrl() {
    local tries
    for tries in $(seq 1 600); do
        curl -s -m 2 "$1" 2>/dev/null | grep -q "$2" && return 0
        sleep 0.05
    done
    echo "no answer with '$2' from $1" >&2
    return 1
}

settingsOf() { # ROLE NAME NUMBER
    local role=$1 name=$2 number=$3
    cat <<INI
[vm]
role = $role
vm = $name
region = west
data_centre = utrecht

[link]
listen = tcp://127.0.0.1:$((basePort + 100 + number))

[platform]
key_value_url = http://127.0.0.1:$basePort
vm_list_url = http://127.0.0.1:$basePort/vms

[keys]
digest_secret = $secret

[observe]
listen = 127.0.0.1:$((basePort + 200 + number))
spans = ${EELGRASSCOVE_SPANS:-true}

[stop]
announce = 0s
INI
}

entrySettings() { # NAME NUMBER
    settingsOf entry "$1" "$2"
    printf '\n[callers]\nlisten = 127.0.0.1:%d\n' $((basePort + 50 + $2))
}

targetSettings() { # NAME NUMBER GROUP ENGINE URL
    settingsOf target "$1" "$2"
    printf '\n[target]\ngroup = %s\nengine = %s\nurl = %s\nloads_per_second = 4\n' "$3" "$4" "$5"
}

vmRow() { # NAME ROLE NUMBER GROUP
    printf '{"name":"%s","region":"west","data_centre":"utrecht","role":"%s",' "$1" "$2"
    printf '"address":"tcp://127.0.0.1:%d","group":"%s","state":"live"}' $((basePort + 100 + $3)) "$4"
}

writeVmList() {
    printf '{"vms":[%s,%s,%s,%s,%s,%s]}\n' "$(vmRow entry-1 entry 1 "")" \
        "$(vmRow entry-2 entry 2 "")" "$(vmRow runner-1 target 11 advice)" \
        "$(vmRow runner-2 target 12 advice)" "$(vmRow runner-3 target 13 advice)" \
        "$(vmRow records-1 target 21 records)" >"$work/vms.json"
}

writeRules() {
    local digest
    digest=$(printf %s "$demoKey" | openssl dgst -sha256 -hmac "$secret" | sed 's/.* //')
    cat >"$work/rules" <<RULES
account levelling rate 200000 burst 400000   # asked by the Association's board, 2026-11-02
key demo account levelling digest $digest   # asked by the service desk, 2026-11-02
route oak account levelling adapter oak-legs version 3 targets advice idempotent   # asked by workshop 12
route beech account levelling adapter beech-legs version 1 targets advice idempotent   # asked by workshop 40
route help open adapter first-aid version 1 targets advice idempotent   # asked by the members' meeting
route register account levelling service POST /certificates targets records non-idempotent   # asked by the registrar
route lookup account levelling service GET /certificates targets records idempotent   # asked by the registrar
RULES
    cat >"$work/operator.ini" <<INI
[platform]
key_value_url = http://127.0.0.1:$basePort
vm_list_url = http://127.0.0.1:$basePort/vms

[keys]
digest_secret = $secret

[operator]
status_urls = $(for n in 1 2 11 12 13 21; do printf 'http://127.0.0.1:%d/status,' $((basePort + 200 + n)); done | sed 's/,$//')
INI
}

startStandIns() {
    launch platform "$standins/standin-platform" --port=$basePort --vms="$work/vms.json"
    launch weights "$standins/standin-weightstore" --port=$((basePort + 1)) --loads-per-second=50 --fetch-ms=20
    local n
    for n in 1 2 3; do
        launch engine-$n "$standins/standin-engine" --port=$((basePort + 10 + n)) \
            --token-ms="${EELGRASSCOVE_TOKEN_MS:-2}" --load-ms=100 --weight-store=127.0.0.1:$((basePort + 1)) --check-fencing
    done
    launch records "$standins/standin-service" --port=$((basePort + 21)) --name=records
    awaitUrl http://127.0.0.1:$basePort/vms vms
}

startDaemons() {
    local n
    for n in 1 2 3; do
        targetSettings runner-$n $((10 + n)) advice true http://127.0.0.1:$((basePort + 10 + n)) >"$work/runner-$n.ini"
        launch runner-$n "$programs/eelgrasscoved" --settings "$work/runner-$n.ini"
    done
    targetSettings records-1 21 records false http://127.0.0.1:$((basePort + 21)) >"$work/records-1.ini"
    launch records-1 "$programs/eelgrasscoved" --settings "$work/records-1.ini"
    for n in 1 2; do
        entrySettings entry-$n $n >"$work/entry-$n.ini"
        launch entry-$n "$programs/eelgrasscoved" --settings "$work/entry-$n.ini"
    done
}

startFleet() {
    writeVmList
    writeRules
    startStandIns
    startDaemons
    "$programs/eelgrasscove" --settings "$work/operator.ini" rules apply "$work/rules"
    for n in 1 2; do
        awaitUrl http://127.0.0.1:$((basePort + 50 + n))/readyz '^ready'
        awaitUrl http://127.0.0.1:$((basePort + 50 + n))/status '"runner-3","role":"target","link_up":true'
    done
}
