# A prompt is larger than one engine's memory, so the gateway holds memory for
# parts of it at other engines. The holds are released with the response, and
# expire if the gateway is killed.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
large=(-d prompt -H 'Token-Usage: 600000,400')

WORKERS="3 4"
held_tokens() {
    local n sum=0
    for n in $WORKERS; do
        sum=$((sum + $(worker_stat "$n" held)))
    done
    echo "$sum"
}
nothing_held() {
    [ "$(held_tokens)" = 0 ]
}
something_held() {
    [ "$(held_tokens)" != 0 ]
}
# A part takes at most 55 % of an engine's 400,000 tokens, so that 600,000
# tokens need three engines.
expect "a large prompt with two engines" \
    "$(call "$GATEWAY" /stream/x "${large[@]}")" 503
expect "tokens held for the refused prompt" "$(held_tokens)" 0
start_worker 5
register 5
WORKERS="3 4 5"
wait_log gateway-1 'endpoint changed endpoint=worker-5 state=ready'
wait_log gateway-2 'endpoint changed endpoint=worker-5 state=ready'

# Two engines hold parts for the third and release them after the response.
expect "a large prompt with three engines" \
    "$(call "$GATEWAY" /stream/x "${large[@]}")" 200
expect "events" "$(grep -c '^data: event' "$WORK/body")" 12
wait_until nothing_held
release_count() {
    local n sum=0
    for n in $WORKERS; do
        sum=$((sum + $(worker_stat "$n" releases)))
    done
    echo "$sum"
}
expect "releases" "$(release_count)" 2
hold_ids=$(for n in 3 4 5; do fetch "http://$IP:740$n/control/stats"; done |
    grep -o '/gateway-1-[0-9a-f]*-[0-9]*' | wc -l)
expect "holds that the request to the responding engine names" "$hold_ids" 2

# Without memory for every part, no engine holds any of them.
for n in 3 4 5; do
    worker_control $n 'memory?tokens=1000'
done
expect "a large prompt without memory" \
    "$(call "$GATEWAY" /stream/x "${large[@]}")" 503
grep -qi '^Retry-After: ' "$WORK/call.head" ||
    fail "the refusal has no Retry-After"
wait_until nothing_held
for n in 3 4 5; do
    worker_control $n 'memory?tokens=1000000'
done

# The holds of a prompt that its engine doesn't begin expire, although the
# request goes on.
for n in 3 4 5; do
    worker_control $n 'silent?on=1'
done
start_request unused -H 'Host: a.example' -H 'Attempt-Id: 80' \
    -H 'Deadline-Ms: 60000' "${large[@]}" "$GATEWAY/stream/x"
wait_until something_held
# They expire by their time, however patient a run is otherwise.
MAX_TRIES=1000 wait_until nothing_held
wait_log gateway-1 'holds expire, no request has used them'
grep -q 'request ended id=80 ' "$WORK/gateway-1.log" &&
    fail "the request with unused holds has ended"
for n in 3 4 5; do
    worker_control $n 'silent?on=0'
done
reap unused || true
wait_until nothing_held

# The holds of a killed gateway expire without a release.
for n in 3 4 5; do
    worker_control $n 'silent?on=1'
done
start_request dying -H 'Host: a.example' -H 'Attempt-Id: 79' \
    -H 'Deadline-Ms: 60000' "${large[@]}" "$GATEWAY2/stream/x"
wait_until something_held
before=$(release_count)
kill_and_reap gateway-2
reap dying || true
wait_until nothing_held
expect "releases after the gateway was killed" "$(release_count)" "$before"
