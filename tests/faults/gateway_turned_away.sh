# Guards against requests to a worker that has refused one and said how long it
# wants no more of them.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
key=(-H 'Credential: key-1')

worker_control 1 'full?on=1&retry_s=600'
for n in $(seq 1 40); do
    expect "request $n" "$(call "$GATEWAY" /plain/x "${key[@]}")" 200
done
expect "requests that the worker refused" "$(worker_stat 1 refused)" 1

# It wants none, even if there is no other worker: the request is refused at
# once, with the rest of the time.
store_control 'remove?key=servers/worker-2'
wait_log gateway-1 'endpoint changed endpoint=worker-2 state=gone'
expect "a request that no worker wants" \
    "$(call "$GATEWAY" /plain/x "${key[@]}")" 503
after=$(sed -n 's/^Retry-After: \([0-9]*\).*/\1/p' "$WORK/call.head")
[ "$after" -gt 60 ] && [ "$after" -le 600 ] ||
    fail "Retry-After is $after, not the rest of 600 s"
expect "requests that the worker refused" "$(worker_stat 1 refused)" 1

# After the time it gets requests again.
worker_control 1 'full?on=1&retry_s=0.2'
refuses_second() {
    call "$GATEWAY2" /plain/x "${key[@]}" >"$WORK/status"
    [ "$(worker_stat 1 refused)" -ge 2 ]
}
wait_until refuses_second
worker_control 1 'full?on=0'
served() {
    [ "$(call "$GATEWAY2" /plain/x "${key[@]}")" = 200 ]
}
wait_until served
