# Guards against a removed key that is accepted for good: the store comes back
# from an older copy of itself, the key is removed, and by the time at which the
# gateways reach the store again it has given out their revision once more. A
# watch from there begins after the removal, and no change seems to be missing.
BOUNDS='revoke = 4s'
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
key=(-H 'Credential: key-1')
expect "request with the key" "$(call "$GATEWAY" /plain/x "${key[@]}")" 200
expect "request at the other gateway" \
    "$(call "$GATEWAY2" /plain/x "${key[@]}")" 200

# has_revision NUMBER: whether the gateway's copy has the store's revision.
has_revision() {
    [ "$(gateway_metric "$1" store_revision)" = \
        "$(fetch "$STORE_URL/control/revision" | json_field revision)" ]
}

# Revisions that the copy lacks, and that the gateways have.
copied=$(date +%s%N)
for n in 1 2 3 4 5 6 7 8; do
    register 2
done
wait_until has_revision 1
wait_until has_revision 2
store_control 'down?on=1'
wait_log gateway-1 'the store does not answer'
wait_log gateway-2 'the store does not answer'
store_control "drill?age_ms=$((($(date +%s%N) - copied) / 1000000))"
KEYS='"key-2"' configure ""
for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16; do
    register 2
done
store_control 'down?on=0'

for n in 1 2; do
    wait_until version_in_force "$n" "$VERSION"
done
# The refusal is final once the copy counts as the newest again.
refuses() {
    local status
    status=$(call "$1" /plain/x "${key[@]}")
    [ "$status" != 200 ] || fail "a request with the removed key was served"
    [ "$status" = 401 ]
}
wait_until refuses "$GATEWAY"
wait_until refuses "$GATEWAY2"
