# Guards against a gateway that answers 404 for an added route for good: a watch
# of the store that ended without the change moved the gateway's copy past it.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment

# change_while_quiet PATH: adds a route for the path while the store's watches
# see no changes, and until several of them have ended.
change_while_quiet() {
    local watches
    store_control quiet
    watches=$(fetch "$STORE_URL/control/calls" | json_field watches)
    configure "{\"name\":\"added\",\"host\":\"a.example\",\"prefix\":\"$1\",
        \"kind\":\"safe\",\"timeout_ms\":60000,\"target_latency_ms\":200,
        \"priority\":1,\"service\":\"plain\",\"max_attempts\":2,
        \"public\":true},"
    wait_until watches_are_above $((watches + 4))
    store_control 'quiet?on=0'
}

watches_are_above() {
    [ "$(fetch "$STORE_URL/control/calls" | json_field watches)" -gt "$1" ]
}

change_while_quiet /added/
wait_log gateway-1 'a watch lacks changes up to its revision'
wait_until version_in_force 1 "$VERSION"
wait_until version_in_force 2 "$VERSION"
expect "request on the added route" "$(call "$GATEWAY" /added/x)" 200
expect "request on the added route at the other gateway" \
    "$(call "$GATEWAY2" /added/x)" 200

# The same with the end of the history, which cuts the watches.
change_while_quiet /other/
store_control compact
wait_until version_in_force 1 "$VERSION"
wait_until version_in_force 2 "$VERSION"
expect "request on the second route" "$(call "$GATEWAY" /other/x)" 200
