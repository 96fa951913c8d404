#!/usr/bin/env bash
# Installs, builds, starts the whole path on loopback, sends one request of each kind, shows the
# answers and the trace of one, and stops everything by id.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/build.sh default
source Utilities/fleet.sh
trap stopFleet EXIT
startFleet

entry1=http://127.0.0.1:$((basePort + 51))
entry2=http://127.0.0.1:$((basePort + 52))
bearer="Authorization: Bearer $demoKey"
trace=0af7651916cd43dd8448eb211c80319c

show() { # TITLE CURL-ARGUMENTS...
    printf '\n== %s\n' "$1"
    shift
    curl -sSN -m 30 "$@"
    echo
}

show "the routes this key may use" -H "$bearer" "$entry1/v1/models"
show "a completion on the route's adapter" -H "$bearer" "$entry1/v1/completions" \
    -d '{"model":"oak","prompt":"the chair rocks on its left leg","max_tokens":6}'
show "a chat, streamed, through the other entry" -H "$bearer" \
    -H "traceparent: 00-$trace-b7ad6b7169203331-01" "$entry2/v1/chat/completions" \
    -d '{"model":"beech","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"which shim?"}]}'
show "a certificate, registered once" -H "$bearer" -H "Idempotency-Key: chair-7" \
    "$entry1/certificates" -d '{"chair":7}'
show "the same, sent again through the other entry" -H "$bearer" -H "Idempotency-Key: chair-7" \
    "$entry2/certificates" -d '{"chair":7}'
show "a route open to all, without a key" "$entry2/v1/completions" \
    -d '{"model":"help","prompt":"a finger under the shim","max_tokens":3}'
show "without a key elsewhere" "$entry1/v1/completions" -d '{"model":"oak","prompt":"x"}'
show "status of an entry" "$entry1/status"

printf '\n== the trace of the streamed chat\n'
awaitTrace() {
    local tries
    for tries in $(seq 1 100); do
        (($(cat "$work"/*.log | grep -c "$trace") >= 3)) && return 0
        sleep 0.05
    done
    echo "the trace is not whole" >&2
    return 1
}
awaitTrace
grep -h "$trace" "$work"/*.log | grep -o '"stringValue":"[^"]*"}}\]},"scope\|"traceId.*"endTimeUnixNano":"[0-9]*"' |
    sed 's/"stringValue":"\([^"]*\)"}}\]},"scope/process \1/'
