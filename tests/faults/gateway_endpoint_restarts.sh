# Guards against a late answer of an instance that was leaving: it is not said of
# the instance that has its id by then, which gets requests.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment

# register_instance BORN: registers worker-1 with the start of its instance.
register_instance() {
    register 1 ready "$1"
    wait_log gateway-1 "endpoint changed endpoint=worker-1 .*born_ms=$1"
}

store_control 'remove?key=servers/worker-2'
wait_log gateway-1 'endpoint changed endpoint=worker-2 state=gone'
register_instance 1790000000001
worker_control 1 'leaving?on=1'
worker_control 1 'silent?on=1'
start_request late -H 'Host: a.example' -H 'Attempt-Id: 1' \
    -H 'Deadline-Ms: 60000' -H 'Credential: key-1' "$GATEWAY/plain/x"
runs() {
    [ "$(worker_stat 1 runs)" = 1 ]
}
wait_until runs
register_instance 1790000000002
worker_control 1 'silent?on=0'
reap late
expect "the late answer" "$(status_of late)" 200

worker_control 1 'leaving?on=0'
expect "a request to the new instance" \
    "$(call "$GATEWAY" /plain/x -H 'Credential: key-1')" 200
