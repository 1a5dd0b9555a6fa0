# Two gateways before workers that exit when they run what CRASH says, as in the
# control command crash of fake_worker. Each worker is behind one of the SLOTS,
# the last digits of ports, and serves SERVICE, model or plain.
. "$(dirname "${BASH_SOURCE[0]}")/gateways.sh"
declare -A ID  # of the worker behind each slot
declare -A RUN # the name of its process
LAST_ID=0
RUNS=0
CRASHES=0 # counted by restart_crashed
SERVICE=${SERVICE:-model}
CRASH=${CRASH:-part=bad1}

# run_crashing SLOT: starts the worker's process.
run_crashing() {
    RUNS=$((RUNS + 1))
    RUN[$1]=worker-run-$RUNS
    start "${RUN[$1]}" "$BIN/tests/fake_worker" --ip "$IP" --port "740$1" \
        --number "${ID[$1]}"
    wait_log "${RUN[$1]}" ready
    worker_control "$1" "crash?$CRASH"
}

# start_crashing SLOT: starts a worker under a new id and registers it.
start_crashing() {
    LAST_ID=$((LAST_ID + 1))
    ID[$1]=$LAST_ID
    run_crashing "$1"
    store_control "put?key=servers/worker-$LAST_ID" -d "{
        \"service\":\"$SERVICE\",\"address\":\"$IP:740$1\",\"zone\":\"here\",
        \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",
        \"cold_remaining_ms\":0,\"sequence\":1}"
    wait_log gateway-1 "endpoint changed endpoint=worker-$LAST_ID state=ready"
    wait_log gateway-2 "endpoint changed endpoint=worker-$LAST_ID state=ready"
}

has_crashed() {
    grep -q '^crashed' "$WORK/${RUN[$1]}.log"
}

# is_reported SLOT: whether a gateway has noticed the crash of the worker.
is_reported() {
    grep -q "endpoint has crashed .*endpoint=worker-${ID[$1]} " \
        "$WORK/gateway-1.log" "$WORK/gateway-2.log"
}

# Counts the workers that have crashed, and starts them again once a gateway has
# noticed, since they would accept its connection.
restart_crashed() {
    local slot
    for slot in $SLOTS; do
        if has_crashed "$slot"; then
            CRASHES=$((CRASHES + 1))
            reap "${RUN[$slot]}" || true
            wait_until is_reported "$slot"
            store_control "remove?key=servers/worker-${ID[$slot]}"
            start_crashing "$slot"
        fi
    done
}

# prompt GATEWAY_URL PARTS: sends a prompt, one of its own for other parts, and
# prints the status. curl fails if the response is cut off.
prompt() {
    call "$1" /stream/x -d "prompt of $2" -H 'Token-Usage: 1000,40' \
        -H "Prompt-Prefix: $2" || true
}

start_crashing_deployment() {
    local n
    start_store
    configure ""
    for n in 1 2; do
        write_gateway_settings "$n"
        start "gateway-$n" "$BIN/dandelionfork-gateway" \
            --settings "$WORK/gateway-$n.ini"
    done
    for n in $SLOTS; do
        start_crashing "$n"
    done
    wait_until is_ready 1
    wait_until is_ready 2
}

# repeat URL PATH BODY [CURL_ARGUMENTS]: sends the request and prints the status.
# An empty body sends a GET. curl fails if the response is cut off.
repeat() {
    local body=()
    [ -z "$3" ] || body=(-d "$3")
    call "$1" "$2" "${body[@]}" -H 'Credential: key-1' "${@:4}" || true
}

# crash_on PATH BODY [EVENT]: the workers crash from now on when they run that
# request, and not what they crashed on before.
crash_on() {
    local slot
    CRASH="path=$1&body=$2&event=${3:-0}"
    for slot in $SLOTS; do
        worker_control "$slot" "crash?$CRASH"
    done
}

# expect_few_crashes PATH BODY SOUND_PATH SOUND_BODY [CURL_ARGUMENTS]: sends the
# first request 16 times, through both gateways, and the second one in between.
# The rule: after a request has crashed three workers, three more get it.
expect_few_crashes() {
    local n url before=$CRASHES
    for n in $(seq 1 16); do
        url=$GATEWAY
        [ $((n % 2)) = 0 ] || url=$GATEWAY2
        repeat "$url" "$1" "$2" "${@:5}" >"$WORK/status"
        restart_crashed
        expect "a sound request after $n of $1 \"$2\"" \
            "$(repeat "$url" "$3" "$4" "${@:5}")" 200
    done
    [ $((CRASHES - before)) -le 6 ] ||
        fail "16 times $1 \"$2\" ended $((CRASHES - before)) workers, not 6 at most"
    for url in "$GATEWAY" "$GATEWAY2"; do
        expect "$1 \"$2\"" "$(repeat "$url" "$1" "$2" "${@:5}")" 503
        grep -qi '^Retry-After: ' "$WORK/call.head" ||
            fail "the refusal of $1 \"$2\" has no Retry-After"
    done
}
