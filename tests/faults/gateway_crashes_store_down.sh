# Guards against a gateway that keeps to itself which prompt part ends engines: it
# finds the part while the store is away, and the others learn of it afterwards.
. "$(dirname "$0")/lib/crashing.sh"
SLOTS="3 4 5 6 7"
start_crashing_deployment

knows_part() {
    [ "$(gateway_metric "$1" quarantined_parts)" = 1 ]
}
is_served() {
    [ "$(prompt "$GATEWAY" "aa01:40,cc1:500,e1:460")" = 200 ]
}
# Workers that have ended start again under the ids that they had.
PROMPTS=0
learns_part() {
    local slot
    PROMPTS=$((PROMPTS + 1))
    prompt "$GATEWAY" "aa01:40,bad1:500,f$PROMPTS:460"
    for slot in $SLOTS; do
        if has_crashed "$slot"; then
            reap "${RUN[$slot]}" || true
            run_crashing "$slot"
        fi
    done
    wait_until is_served
    knows_part 1
}
store_control 'down?on=1'
wait_until learns_part
! knows_part 2 || fail "gateway-2 knows what only gateway-1 has seen"
store_control 'down?on=0'
wait_until knows_part 2
expect "a request with the part at the other gateway" \
    "$(prompt "$GATEWAY2" "aa01:40,bad1:500,ff:460")" 503
