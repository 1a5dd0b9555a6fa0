# Endpoints send bytes without end, in the head or the body of a response, fast
# or a byte now and then. Each request ends with its true outcome, by a bound in
# bytes or by its time limit, the gateway closes the connection, its memory
# stays flat, and it serves other requests meanwhile.
. "$(dirname "$0")/lib/gateways.sh"
MAX_GROWTH_KB=8192
start_deployment
kill_and_reap worker-1
kill_and_reap worker-2
store_control "remove?key=servers/worker-1"
store_control "remove?key=servers/worker-2"

# start_endless MODE [PAUSE_MS]: worker-1 is replaced by a server in trouble,
# under another id each time, since the gateway avoids one that has failed.
NUMBER=10
STARTS=0
# endless_is_ready COUNT: whether so many have said so, in one log.
endless_is_ready() {
    [ "$(grep -c '^ready' "$WORK/endless.log")" -ge "$1" ]
}
start_endless() {
    local mode=$1
    store_control "remove?key=servers/worker-$NUMBER"
    [ -z "${PIDS[endless]:-}" ] || kill_and_reap endless
    NUMBER=$((NUMBER + 1))
    start endless "$BIN/tests/fake_endless" --ip "$IP" --port 7401 \
        --mode "$mode" --pause "${2:-0}"
    STARTS=$((STARTS + 1))
    wait_until endless_is_ready "$STARTS"
    store_control "put?key=servers/worker-$NUMBER" -d "{\"service\":\"plain\",
        \"address\":\"$IP:7401\",\"zone\":\"here\",
        \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",
        \"cold_remaining_ms\":0,\"sequence\":1}"
    wait_log gateway-1 "endpoint=worker-$NUMBER state=ready"
}

# ended COUNT: whether the gateways have closed so many endless responses.
ENDED=0
ended() {
    [ "$(grep -c '^ended' "$WORK/endless.log")" -ge "$1" ]
}

# expect_ended WHAT PATH STATUS[|STATUS]: the request's outcome, with its response in
# $WORK/endless.body; then the connection to
# the endpoint is closed and the gateway serves other requests.
expect_ended() {
    local status
    status=$(call "$GATEWAY" "$2" -H 'Credential: key-1') || status=broken
    [[ "|$3|" = *"|$status|"* ]] ||
        fail "$1: status $status, expected $3"
    [ ! -e "$WORK/body" ] || mv "$WORK/body" "$WORK/endless.body"
    ENDED=$((ENDED + 1))
    wait_until ended "$ENDED"
    expect "another request after $1" \
        "$(call "$GATEWAY" "/stream/x?events=2" -d y)" 200
}

memory_kb() {
    awk '$1 == "VmHWM:" { print $2 }' "/proc/${PIDS[gateway-1]}/status"
}

call "$GATEWAY" "/stream/x?events=2" -d y >/dev/null
before_kb=$(memory_kb)

# By a bound in bytes, long before the route's limit of a minute.
for mode in 0 1 2 3 4 5 6; do
    start_endless $mode
    expect_ended "mode $mode" /plain/x 502
done
expect "responses without end" "$(gateway_metric 1 endless_total)" 6
start_endless 7
expect_ended "an event without end" /plain/x 502
expect "responses without end" "$(gateway_metric 1 endless_total)" 7
wait_log gateway-1 'why="an event without end"'

# Bytes after a complete response: the response counts, the connection is
# closed.
start_endless 8
expect_ended "bytes beyond a response" /plain/x 200
expect "the response" "$(cat "$WORK/endless.body")" one
start_endless 9
expect_ended "bytes after a response without a body" /plain/x 204

# A body without a length is a response as long as it goes on: it ends at the
# route's limit of 300 ms, and the caller sees that it is not complete.
start_endless 10
expect_ended "a body without end" /quick/x 'broken|504'
start_endless 11
expect_ended "comments without end" /quick/x 'broken|504'

# A byte now and then.
for mode in 0 1 2 3 5 6 7; do
    start_endless $mode 20
    expect_ended "mode $mode, byte by byte" /quick/x 504
done
for mode in 10 11; do
    start_endless $mode 20
    expect_ended "mode $mode, byte by byte" /quick/x 'broken|504'
done

# The sanitizers keep freed memory, so that only a plain build tells.
grown_kb=$(($(memory_kb) - before_kb))
grep -qE '__(asan|tsan)_init' "$BIN/dandelionfork-gateway" ||
    [ "$grown_kb" -lt "$MAX_GROWTH_KB" ] ||
    fail "the gateway's memory has grown by $grown_kb KB"
expect "starts of the gateway" \
    "$(grep -c 'gateway: started' "$WORK/gateway-1.log")" 1
