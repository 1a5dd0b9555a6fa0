# A gateway and the platform's store: outages, peers that hand on what they
# know, keys that may have been removed, lost history, unreadable entries.
BOUNDS='revoke = 4s'
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
key=(-H 'Credential: key-1')

# A configuration is in force at both without a word to them.
configure ""
wait_until version_in_force 1 "$VERSION"
wait_until version_in_force 2 "$VERSION"

# Entries that can't be read name no worker; the others hold.
store_control 'put?key=servers/worker-1' -d 'no JSON'
store_control 'put?key=servers/worker-9' -d '{"service":7}'
wait_log gateway-1 "an endpoint's entry can't be read endpoint=worker-1"
for n in 1 2 3; do
    expect "call $n" "$(call "$GATEWAY" "/plain/$n" "${key[@]}")" 200
    grep -q worker-2 "$WORK/body" || fail "sent to an unreadable entry"
done
register 1

# History is gone: everything is read again, nothing is lost.
store_control compact
configure ""
wait_until version_in_force 1 "$VERSION"
wait_log gateway-1 'history is gone'

# An older configuration is not taken.
newest=$VERSION
VERSION=0
configure ""
wait_log gateway-1 'an older configuration is not taken'
version_in_force 1 "$newest" || fail "went back to an older version"
VERSION=$newest

# The store is away: calls without a key go on; those with one are refused, not
# run, once the key may have been removed, and the gateways aren't ready.
store_control 'down?on=1'
expect "call in the outage" "$(call "$GATEWAY" /once/x -d y)" 200
wait_until is_not_ready 1
expect "keyed call" "$(call "$GATEWAY" /plain/x "${key[@]}")" 503
grep -qi '^Retry-After: ' "$WORK/call.head" || fail "no time to come back"
expect "call without a key" "$(call "$GATEWAY" /once/x -d y)" 200

# Entries that lapse with the store are held until it is back for a while.
store_control 'down?on=0'
wait_until is_ready 1
expect "keyed call" "$(call "$GATEWAY" /plain/x "${key[@]}")" 200

# A gateway whose own way to the store is cut learns from the other one.
kill_hard gateway-2
gateway_settings 2 "$BOUNDS"
sed -i "s/^store = .*/store = $IP:7999/" "$WORK/gateway-2.ini"
start_gateway 2
wait_log gateway-2 'knowledge of the store taken from a peer'
expect "keyed call" "$(call "$GATEWAY2" /plain/x "${key[@]}")" 200
KEYS='"key-2"' configure ""
wait_until version_in_force 2 "$VERSION"
expect "removed key" "$(call "$GATEWAY2" /plain/x "${key[@]}")" 401

# What a peer tells may lack the peer itself: its link ends, after its message.
store_control 'remove?key=dandelionfork/gateways/gateway-1'
wait_log gateway-2 'link down .* why="left the list"'
expect "call after it" "$(call "$GATEWAY2" /once/x -d y)" 200

# A gateway that starts is asked before it has read the store: the request waits
# for it, and is refused as not run if nothing comes.
kill_hard gateway-1
kill_hard gateway-2
store_control 'down?on=1'
start_blind() {
    gateway_settings 2 "$BOUNDS"
    sed -i "s/^grace = .*/grace = 20s\npark = $1/" "$WORK/gateway-2.ini"
    start gateway-2 "$BIN/dandelionfork-gateway" \
        --settings "$WORK/gateway-2.ini"
    wait_until get -f "http://$IP:7522/metrics"
}
rm "$WORK/gateway-2.log"
start_blind 1ms
wait_log gateway-2 'the store does not answer'
expect "nothing comes" "$(call "$GATEWAY2" /once/x -d y)" 503
kill_hard gateway-2
start_blind 60s
request waiting -H 'Host: a.example' -H 'Attempt-Id: 82' \
    -H 'Deadline-Ms: 60000' -d y "$GATEWAY2/once/x"
# One whose time is over by then is not sent any more.
request too-late -H 'Host: a.example' -H 'Attempt-Id: 83' \
    -H 'Deadline-Ms: 1' -d y "$GATEWAY2/once/x"
two_requests() {
    [ "$(metric 2 requests_total)" = 2 ]
}
wait_until two_requests
before=$(($(worker_stat 1 runs) + $(worker_stat 2 runs)))
store_control 'down?on=0'
reap waiting
expect "the store answers" "$(status_of waiting)" 200
reap too-late
expect "time over" "$(status_of too-late)" 503
expect "runs" $(($(worker_stat 1 runs) + $(worker_stat 2 runs))) \
    $((before + 1))
