# Guards against a gateway that starts while the store lacks what it had
# acknowledged before it came back from an older copy: it took that copy, also
# from a gateway that knew more, for the newest, answered 404 for a route that
# had been in force, and served a removed key.
BOUNDS='revoke = 5s'
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
key=(-H 'Credential: key-1')

add_route() {
    configure "{\"name\":\"added\",\"host\":\"a.example\",\"prefix\":\"$1\",
        \"kind\":\"safe\",\"timeout_ms\":60000,\"target_latency_ms\":200,
        \"priority\":1,\"service\":\"plain\",\"max_attempts\":2,
        \"public\":true},"
}

in_force_everywhere() {
    version_in_force 1 "$VERSION" && version_in_force 2 "$VERSION"
}

# has_answered STATUS: of the first gateway, for a route that does not exist;
# 503 while its copy is too old for a final answer.
has_answered() {
    [ "$(call "$GATEWAY" /nowhere/x)" = "$1" ]
}

# A version with a route and without the first key, which the store's copy will
# lack.
copied=$(date +%s%N)
KEYS='"key-2"' add_route /added/
wait_until in_force_everywhere
store_control 'down?on=1'
wait_until has_answered 503
store_control "drill?age_ms=$((($(date +%s%N) - copied) / 1000000 + 50))"
store_control 'down?on=0'
for n in 1 2; do
    wait_log "gateway-$n" 'the copy is of another era'
done

write_gateway_settings 3 "$BOUNDS"
start gateway-3 "$BIN/dandelionfork-gateway" \
    --settings "$WORK/gateway-3.ini"
wait_log gateway-3 'configuration in force'
route=$(call "http://$IP:7503" /added/x)
removed=$(call "http://$IP:7503" /plain/x "${key[@]}")
# The operator has two seconds to write the version again: what the started
# gateway has answered counts only if the first one, which has seen the store
# come back before, still refuses to be final.
has_answered 503 || fail "too slow a machine for this test"
[ "$route" != 404 ] && [ "$removed" != 200 ] ||
    fail "a started gateway has answered a route that was in force with" \
        "$route, and a request with a removed key with $removed"
