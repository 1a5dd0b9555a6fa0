# A gateway and the platform's store: outages, state copied from a peer, keys
# that may have been removed, a compacted history, and unreadable
# registrations.
BOUNDS='revoke = 4s'
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
key=(-H 'Credential: key-1')

# Both gateways put a new configuration in force by watching the store.
configure ""
wait_until version_in_force 1 "$VERSION"
wait_until version_in_force 2 "$VERSION"

# The gateway refuses registrations that it can't read and uses all workers as
# before.
store_control 'put?key=servers/worker-1' -d 'no JSON'
store_control 'put?key=servers/worker-9' -d '{"service":7}'
wait_log gateway-1 'an item of the store is refused.* key=servers/worker-1 '
wait_log gateway-1 'an item of the store is refused.* key=servers/worker-9 '
runs=$(worker_stat 1 runs)
worker_1_runs() {
    expect request "$(call "$GATEWAY" /plain/x "${key[@]}")" 200
    [ "$(worker_stat 1 runs)" -gt "$runs" ]
}
wait_until worker_1_runs
register 1

# After the store has compacted its history, the gateway reads everything
# again.
store_control compact
configure ""
wait_until version_in_force 1 "$VERSION"
wait_log gateway-1 'history is gone'

# A gateway rejects an older configuration.
newest=$VERSION
VERSION=0
configure ""
wait_log gateway-1 'an older configuration is not taken'
version_in_force 1 "$newest" || fail "gateway-1 put an older version in force"
VERSION=$newest

# A route that is not known may be in a newer configuration that can't be read:
# the refusal is not final.
has_answered() {
    [ "$(call "$GATEWAY" /nowhere/x)" = "$1" ]
}
wait_until has_answered 404
store_control 'put?key=op/config' -d 'no JSON'
wait_log gateway-1 "a configuration can't be read"
expect "request on a route that the unread configuration may have" \
    "$(call "$GATEWAY" /nowhere/x)" 503
wait_log gateway-1 'request is not admitted .*status=503 .*complete=0'
expect "request beside an unread configuration" \
    "$(call "$GATEWAY" /plain/x "${key[@]}")" 200
configure ""
wait_until version_in_force 1 "$VERSION"
wait_until has_answered 404

# While the store is down, gateways serve requests without a key. Once a key
# may have been removed meanwhile, they refuse requests with a key as not run
# and report not ready.
store_control 'down?on=1'
expect "request without a key at the start of the outage" \
    "$(call "$GATEWAY" /once/x -d y)" 200
wait_until is_not_ready 1
expect "request with a key in the outage" \
    "$(call "$GATEWAY" /plain/x "${key[@]}")" 503
grep -qi '^Retry-After: ' "$WORK/call.head" ||
    fail "the refusal has no Retry-After"
expect "request without a key in the outage" \
    "$(call "$GATEWAY" /once/x -d y)" 200

# Gateways keep registrations whose lease ended in the outage for some time
# after the store is back, so that their owners can register again.
store_control 'down?on=0'
wait_until is_ready 1
expect "request with a key after the outage" \
    "$(call "$GATEWAY" /plain/x "${key[@]}")" 200

# A gateway that can't reach the store copies its state from the other gateway.
kill_and_reap gateway-2
write_gateway_settings 2 "$BOUNDS"
sed -i "s/^store = .*/store = $IP:7999/" "$WORK/gateway-2.ini"
start_gateway 2
wait_log gateway-2 'knowledge of the store taken from a peer'
expect "request with a key without a connection to the store" \
    "$(call "$GATEWAY2" /plain/x "${key[@]}")" 200
KEYS='"key-2"' configure ""
wait_until version_in_force 2 "$VERSION"
expect "request with a removed key" \
    "$(call "$GATEWAY2" /plain/x "${key[@]}")" 401

# A list of gateways from a peer may lack the peer itself: the gateway closes
# its link after it has handled the whole message.
store_control 'remove?key=dandelionfork/gateways/gateway-1'
wait_log gateway-2 'link down .* why="left the list"'
expect "request after the link has closed" \
    "$(call "$GATEWAY2" /once/x -d y)" 200

# A starting gateway gets a request before it has read the store: the request
# waits for the first configuration, and is refused as not run if none comes.
kill_and_reap gateway-1
kill_and_reap gateway-2
store_control 'down?on=1'
# start_without_store PARK: PARK is how long requests wait.
start_without_store() {
    write_gateway_settings 2 "$BOUNDS"
    sed -i "s/^grace = .*/grace = 20s\npark = $1/" "$WORK/gateway-2.ini"
    start gateway-2 "$BIN/dandelionfork-gateway" \
        --settings "$WORK/gateway-2.ini"
    wait_until fetch -f "http://$IP:7522/metrics"
}
rm "$WORK/gateway-2.log"
start_without_store 1ms
wait_log gateway-2 'the store does not answer'
expect "request without a configuration" "$(call "$GATEWAY2" /once/x -d y)" 503
kill_and_reap gateway-2
start_without_store 60s
start_request waiting -H 'Host: a.example' -H 'Attempt-Id: 82' \
    -H 'Deadline-Ms: 60000' -d y "$GATEWAY2/once/x"
# A request whose time limit is over by then is not sent to a worker.
start_request too-late -H 'Host: a.example' -H 'Attempt-Id: 83' \
    -H 'Deadline-Ms: 1' -d y "$GATEWAY2/once/x"
counts_two_requests() {
    [ "$(gateway_metric 2 requests_total)" = 2 ]
}
wait_until counts_two_requests
before=$(($(worker_stat 1 runs) + $(worker_stat 2 runs)))
store_control 'down?on=0'
reap waiting
expect "request that waited for the store" "$(status_of waiting)" 200
reap too-late
expect "request after its time limit" "$(status_of too-late)" 503
expect "runs after the outage" \
    $(($(worker_stat 1 runs) + $(worker_stat 2 runs))) \
    $((before + 1))
