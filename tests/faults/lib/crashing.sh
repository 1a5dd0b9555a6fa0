# Two gateways before model workers that exit when they begin to write on the
# part bad1. Each worker is behind one of the SLOTS, the last digits of ports.
. "$(dirname "${BASH_SOURCE[0]}")/gateways.sh"
declare -A ID  # of the worker behind each slot
declare -A RUN # the name of its process
LAST_ID=0
RUNS=0

# run_model SLOT: starts the worker's process.
run_model() {
    RUNS=$((RUNS + 1))
    RUN[$1]=model-$RUNS
    start "${RUN[$1]}" "$BIN/tests/fake_worker" --ip "$IP" --port "740$1" \
        --number "${ID[$1]}"
    wait_log "${RUN[$1]}" ready
    worker_control "$1" 'crash?part=bad1'
}

# start_model SLOT: starts a worker under a new id and registers it.
start_model() {
    LAST_ID=$((LAST_ID + 1))
    ID[$1]=$LAST_ID
    run_model "$1"
    store_control "put?key=servers/worker-$LAST_ID" -d "{
        \"service\":\"model\",\"address\":\"$IP:740$1\",\"zone\":\"here\",
        \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",
        \"cold_remaining_ms\":0,\"sequence\":1}"
    wait_log gateway-1 "endpoint changed endpoint=worker-$LAST_ID state=ready"
    wait_log gateway-2 "endpoint changed endpoint=worker-$LAST_ID state=ready"
}

has_crashed() {
    grep -q '^crashed' "$WORK/${RUN[$1]}.log"
}

# prompt GATEWAY_URL PARTS: sends a prompt and prints the status. curl fails if
# the response is cut off.
prompt() {
    call "$1" /stream/x -d prompt -H 'Token-Usage: 1000,40' \
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
        start_model "$n"
    done
    wait_until is_ready 1
    wait_until is_ready 2
}
