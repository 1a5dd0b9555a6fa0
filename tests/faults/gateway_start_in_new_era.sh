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

# start_in_new_era ROUTE: a version with the route and without the first key is
# lost by the store's copy, and the third gateway starts. Returns 1 if it can't
# be judged: the operator has two seconds to write the version again, after
# which the copy counts, so the first gateway, which has seen the store come
# back before, must still refuse to be final.
start_in_new_era() {
    local n route removed copied
    configure ""
    wait_until in_force_everywhere
    copied=$(date +%s%N)
    KEYS='"key-2"' add_route "$1"
    wait_until in_force_everywhere
    for n in 1 2; do
        : >"$WORK/gateway-$n.log"
    done
    store_control 'down?on=1'
    wait_until has_answered 503
    store_control "drill?age_ms=$((($(date +%s%N) - copied) / 1000000 + 20))"
    store_control 'down?on=0'
    for n in 1 2; do
        wait_log "gateway-$n" 'the copy is of another era'
    done
    rm -f "$WORK/gateway-3.log"
    start gateway-3 "$BIN/dandelionfork-gateway" \
        --settings "$WORK/gateway-3.ini"
    wait_log gateway-3 'configuration in force'
    route=$(call "http://$IP:7503" "$1x")
    removed=$(call "http://$IP:7503" /plain/x "${key[@]}")
    has_answered 503 || return 1
    [ "$route" != 404 ] && [ "$removed" != 200 ] ||
        fail "a started gateway has answered a route that was in force with" \
            "$route, and a request with a removed key with $removed"
}

write_gateway_settings 3 "$BOUNDS"
for n in 1 2 3 4 5; do
    ! start_in_new_era "/added-$n/" || exit 0
    kill_and_reap gateway-3
    wait_until has_answered 404
done
fail "the machine was too slow five times"
