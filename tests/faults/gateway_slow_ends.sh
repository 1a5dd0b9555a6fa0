# Guards against timers that end the connections of callers that read slowly
# with the last bytes of their answers: that of TCP, and that of idle callers.
# They read steadily, or pause once; one gateway is told to end meanwhile.
IDLE_MS=1000
# Of what a caller has not taken, the kernel holds 16 KB, and the gateway the rest.
GATEWAY_LINES="memory_mb = 160"
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
configure '{"name":"large","host":"b.example","prefix":"/",
    "kind":"safe","timeout_ms":60000,"target_latency_ms":200,"priority":1,
    "service":"plain","max_attempts":1,"public":true},'
wait_until version_in_force 1 "$VERSION"
wait_until version_in_force 2 "$VERSION"
CALLERS=4

# start_callers NAME PORT ARGUMENTS...: their streams end at the worker at once.
start_callers() {
    start "$1" "$BIN/tests/slow_callers" --ip "$IP" --port "$2" \
        --count $CALLERS --receive 4096 \
        --path '/stream/x?events=40&padding=1000' "${@:3}"
    wait_log "$1" ready
}

requests_ended() {
    [ "$(grep -c 'outcome=ran' "$WORK/gateway-$1.log")" = "$2" ]
}

start_callers steady 7501 --rate 5000
start_callers pausing 7501 --rate 100000 --pause 7000
start_callers last 7502 --rate 5000
wait_until requests_ended 1 $((2 * CALLERS))
wait_until requests_ended 2 $CALLERS
signal TERM gateway-2
for name in steady pausing last; do
    wait_log $name ended
    expect "ends of the answers of $name callers" \
        "$(grep ended "$WORK/$name.log")" "ended whole=$CALLERS cut=0"
done
# Callers that have taken their answers are closed when they are idle.
has_no_callers() {
    [ "$(gateway_metric 1 callers_open)" = 0 ]
}
wait_until has_no_callers
reap gateway-2 || fail "gateway-2 did not end cleanly"
for name in steady pausing last; do
    signal TERM $name
    reap $name
done
