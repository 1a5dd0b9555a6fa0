# Guards against requests to a worker that has said it is leaving, after its
# registration has lapsed, or was overwritten, and has come back.
. "$(dirname "$0")/lib/gateways.sh"
BORN=1790000000000
start_deployment

# changed_times STATE COUNT: whether the registration of worker-1 has become
# that so often.
changed_times() {
    [ "$(grep -c "endpoint changed endpoint=worker-1 state=$1" \
        "$WORK/gateway-1.log")" -ge "$2" ]
}

register 1 ready "$BORN"
wait_until changed_times ready 2
worker_control 1 'leaving?on=1'
send_many 40
wait_log gateway-1 'endpoint is leaving endpoint=worker-1'
runs=$(worker_stat 1 runs)

store_control 'remove?key=servers/worker-1'
wait_until changed_times gone 1
register 1 ready "$BORN"
wait_until changed_times ready 3
send_many 40
expect "runs after the registration has lapsed" "$(worker_stat 1 runs)" "$runs"

# An odd entry holds nothing of the worker, also after its own has lapsed.
store_control 'put?key=servers/worker-1' -d 'no registration'
wait_log gateway-1 'an item of the store is refused.* key=servers/worker-1 '
send_many 40
expect "runs after it was overwritten" "$(worker_stat 1 runs)" "$runs"
store_control 'remove?key=servers/worker-1'
wait_until changed_times gone 2
register 1
register 1 ready "$BORN"
wait_until changed_times ready 4
send_many 40
expect "runs after an entry without a start" "$(worker_stat 1 runs)" "$runs"

# Another instance under the id is not leaving.
worker_control 1 'leaving?on=0'
store_control 'remove?key=servers/worker-1'
wait_until changed_times gone 3
register 1 ready $((BORN + 1))
runs_again() {
    call "$GATEWAY" /plain/x -H 'Credential: key-1' >"$WORK/status"
    [ "$(worker_stat 1 runs)" -gt "$runs" ]
}
wait_until runs_again
