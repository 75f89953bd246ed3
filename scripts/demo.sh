#!/usr/bin/env bash
# Installs packages, builds, starts stand-ins, two entries and three agents on loopback, sends
# requests and prints each response. On exit it stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install-packages.sh
./scripts/build.sh release >/dev/null

bin=build/release/bin
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM SETTINGS: starts a process and waits until it prints its ports.
start() {
    local name=$1 program=$2
    printf '%s\n' "$3" >"$work/$name.json"
    "$bin/$program" --settings="$work/$name.json" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    for _ in $(seq 100); do
        if grep -q '"ready":true' "$work/$name.out"; then return; fi
        sleep 0.05
    done
    echo "$name did not start; its log:" >&2
    cat "$work/$name.log" >&2
    exit 1
}
# port NAME WHICH: prints a port that the kernel assigned to a process.
port() { sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" "$work/$1.out"; }

start store wigeonsill-standin '{ "role": "store" }'
store=127.0.0.1:$(port store listen)
start engine-1 wigeonsill-standin '{ "role": "engine" }'
start engine-2 wigeonsill-standin '{ "role": "engine", "engine": { "stepMs": 40 } }'
start booking wigeonsill-standin '{ "role": "plain" }'

# agent NAME TARGET POOL: starts an agent and registers it in the instance list.
agent() {
    start "$1" wigeonsill-agent "{ \"instance\": \"$1\", \"region\": \"lomb-ovest\", \"failureDomain\": \"a\",
        \"target\": \"127.0.0.1:$(port "$2" listen)\", \"pools\": [\"$3\"] }"
    curl -sS -o /dev/null -X PUT "http://$store/v1/instances?name=$1" \
        -d "{ \"role\": \"agent\", \"endpoint\": \"127.0.0.1:$(port "$1" listen)\", \"state\": \"live\" }"
}
agent agent-1 engine-1 camp-language
agent agent-2 engine-2 camp-language
agent agent-3 booking camp-booking

for name in entry-1 entry-2; do
    start "$name" wigeonsill-entry "{ \"instance\": \"$name\", \"region\": \"lomb-ovest\", \"failureDomain\": \"a\",
        \"store\": \"$store\", \"instanceList\": \"$store\" }"
    curl -sS -o /dev/null -X PUT "http://$store/v1/instances?name=$name" \
        -d "{ \"role\": \"entry\", \"endpoint\": \"127.0.0.1:$(port "$name" listen)\", \"state\": \"live\",
              \"region\": \"lomb-ovest\", \"peer\": \"127.0.0.1:$(port "$name" peers)\" }"
done
entry1=http://127.0.0.1:$(port entry-1 listen)
entry2=http://127.0.0.1:$(port entry-2 listen)

echo "== apply the consortium's declarations"
"$bin/wigeonsillctl" apply examples/consortium --store="$store"
for name in entry-1 entry-2; do
    for _ in $(seq 100); do
        connected=$(curl -sS "http://127.0.0.1:$(port "$name" admin)/state" | grep -o '"connected":true' | wc -l)
        if [ "$connected" -eq 3 ] && curl -sSf -o /dev/null "http://127.0.0.1:$(port "$name" admin)/readyz" 2>/dev/null; then break; fi
        sleep 0.05
    done
done

ask() { curl -sS -i --max-time 60 -H "Authorization: Bearer token-ganga" -H "Content-Type: application/json" "$@"; }

echo; echo "== a streaming completion"
ask -N "$entry1/v1/chat/completions" -d '{ "model": "answer-leader", "stream": true, "max_tokens": 6,
    "messages": [ { "role": "user", "content": "Which gate for group 14?" } ] }'
echo; echo "== a completion with a long prompt"
manifest=$(printf 'pilgrim %d arrives by train; ' $(seq 400))
ask "$entry2/v1/completions" -d "{ \"model\": \"summarise-manifest\", \"max_tokens\": 60, \"prompt\": \"$manifest\" }" | cut -c1-240
echo; echo "== a booking, sent twice with one Idempotency-Key, through both entries"
for entry in "$entry1" "$entry2"; do
    ask -H "Idempotency-Key: berth-7731" "$entry/services/confirm-berth/berths" -d '{ "berth": 7731 }'
    echo
done
echo "== number of times the booking service executed the request"
curl -sS "http://127.0.0.1:$(port booking listen)/admin/runs"
echo; echo "== a booking without an Idempotency-Key is refused"
ask "$entry1/services/confirm-berth/berths" -d '{ "berth": 1 }'
echo; echo "== the state of agent-3"
"$bin/wigeonsillctl" dump --admin="127.0.0.1:$(port agent-3 admin)"
