# Guards against a gateway that goes on with an older configuration after the
# store has come back from an older copy of itself, whose revisions are given
# out again: an added route is served, a removed key is refused, and what was
# in force before is not undone.
BOUNDS='revoke = 4s'
. "$(dirname "$0")/lib/gateways.sh"
started=$SECONDS
start_deployment
key=(-H 'Credential: key-1')

# add_route PATH: writes a version with a route for the path.
add_route() {
    configure "{\"name\":\"added\",\"host\":\"a.example\",\"prefix\":\"$1\",
        \"kind\":\"safe\",\"timeout_ms\":60000,\"target_latency_ms\":200,
        \"priority\":1,\"service\":\"plain\",\"max_attempts\":2,
        \"public\":true},"
}

in_force_everywhere() {
    version_in_force 1 "$VERSION" && version_in_force 2 "$VERSION"
}

# come_back_without MS: the store is away and comes back without what was
# written in the last milliseconds.
come_back_without() {
    store_control 'down?on=1'
    wait_log gateway-1 'the store does not answer'
    store_control "drill?age_ms=$1"
    store_control 'down?on=0'
}

# Seven revisions that the copy will lack, among them a version that is in force.
copied=$(date +%s%N)
for n in 1 2 3 4 5 6; do
    register 2
done
add_route /first/
wait_until in_force_everywhere
come_back_without $((($(date +%s%N) - copied) / 1000000))

# The copy has an older version: the one in force stays so. The next version has
# a revision that the gateways have already seen with other content.
expect "request on a route that the store's copy lacks" \
    "$(call "$GATEWAY" /first/x)" 200
KEYS='"key-2"' add_route /second/
wait_until in_force_everywhere
expect "request on the added route" "$(call "$GATEWAY" /second/x)" 200
expect "request on the added route at the other gateway" \
    "$(call "$GATEWAY2" /second/x)" 200
# The refusal is final once the copy counts as the newest again.
removed_key_is_unknown() {
    local status
    status=$(call "$GATEWAY" /plain/x "${key[@]}")
    [ "$status" != 200 ] || fail "a request with the removed key was served"
    [ "$status" = 401 ]
}
wait_until removed_key_is_unknown
wait_log gateway-1 'the store is in another era'

# Each gateway has registered again, though its lease could be renewed: the
# number is another process's now. The next change arrives by a watch.
is_registered() {
    fetch "$STORE_URL/dandelionfork/kv-range?prefix=dandelionfork/gateways/" |
        grep -q "\"dandelionfork/gateways/gateway-$1\""
}
wait_until is_registered 1
wait_until is_registered 2
add_route /third/
wait_until in_force_everywhere

# A new era makes no gateway list or watch without a pause: without one, each
# makes a hundred calls and more a second.
reads=$(fetch "$STORE_URL/control/calls" | json_field reads)
most=$((200 + 40 * (SECONDS - started)))
[ "$reads" -lt "$most" ] || fail "the gateways have made $reads reading calls"
