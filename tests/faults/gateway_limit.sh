# Guards against more requests to an endpoint than the limit that it names: two
# gateways together keep it, and use the endpoint fully again when it no longer
# names one.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
LIMIT_MILLI=1500

# send_many COUNT: sends requests through both gateways in turn.
send_many() {
    local n
    for n in $(seq 1 "$1"); do
        expect "request $n" \
            "$(call "$GATEWAY" /plain/x -H 'Credential: key-1')" 200
        expect "request $n" \
            "$(call "$GATEWAY2" /plain/x -H 'Credential: key-1')" 200
    done
}

# most_in_4_s FROM_MS: the most runs of worker-1 in some four seconds, by the
# worker's clock, from that time on.
most_in_4_s() {
    awk -v from="$1" '$1 == "ran" && $2 >= from { at[n++] = $2 }
        END {
            for (i = 0; i < n; i++) {
                while (at[i] - at[first] > 4000) first++
                if (i - first + 1 > most) most = i - first + 1
            }
            print most + 0
        }' "$WORK/worker-1.log"
}
last_run_ms() {
    awk '$1 == "ran" { at = $2 } END { print at }' "$WORK/worker-1.log"
}

worker_control 1 "limit?milli=$LIMIT_MILLI"
send_many 10
knows_limit() {
    [ "$(gateway_metric "$1" limited_endpoints)" = 1 ]
}
wait_until knows_limit 1
wait_until knows_limit 2
from_ms=$(($(last_run_ms) + 1))
send_many 150
allowed=$((LIMIT_MILLI * 4 * 3 / 2 / 1000 + 5))
most=$(most_in_4_s "$from_ms")
[ "$most" -le "$allowed" ] ||
    fail "worker-1 got $most requests in 4 s, not $allowed at most"

# A refusal that names no limit does not end it.
worker_control 1 'full?on=1'
is_refused_by_worker() {
    send_many 5
    [ "$(worker_stat 1 refused)" -ge 1 ]
}
wait_until is_refused_by_worker
worker_control 1 'full?on=0'
knows_limit 1 || fail "gateway-1 forgot the limit after a refusal"
knows_limit 2 || fail "gateway-2 forgot the limit after a refusal"

# Without other endpoints a request is refused at once, and told when to come
# back.
store_control 'remove?key=servers/worker-2'
wait_log gateway-1 'endpoint changed endpoint=worker-2 state=gone'
refused() {
    [ "$(call "$GATEWAY" /plain/x -H 'Credential: key-1')" = 503 ]
}
wait_until refused
grep -qi '^Retry-After: ' "$WORK/call.head" ||
    fail "the refusal has no Retry-After"

# The worker no longer names a limit. The gateway that notices tells the other.
worker_control 1 'limit?milli=0'
serves_ten() {
    local n
    for n in 1 2 3 4 5 6 7 8 9 10; do
        [ "$(call "$1" /plain/x -H 'Credential: key-1')" = 200 ] || return 1
    done
}
wait_until serves_ten "$GATEWAY"
wait_until serves_ten "$GATEWAY2"
