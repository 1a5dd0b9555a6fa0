# A key makes repeats safe: at the same time and later, through either entry,
# with the claim's reply lost; and says so when the store or the agent is gone.
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

# At the same time through both entries: one execution, one answer.
request first -d '{"visit":1}' -H 'Idempotency-Key: k1' \
    "$ENTRY/raspored/visits?delay=400"
request second -d '{"visit":1}' -H 'Idempotency-Key: k1' \
    "$ENTRY2/raspored/visits?delay=400"
reap first || fail "first: curl status $?"
reap second || fail "second: curl status $?"
expect "first" "$(status_of first)" 200
expect "second" "$(status_of second)" 200
cmp "$WORK/first.body" "$WORK/second.body" || fail "two answers to one key"
expect "executions" "$(executions total)" 1

# Later, through the same entry.
get -d '{"visit":1}' -H 'Idempotency-Key: k1' \
    "$ENTRY/raspored/visits?delay=400" | cmp - "$WORK/first.body" ||
    fail "another answer later"
expect "executions after a later repeat" "$(executions total)" 1

# The key for something else.
get -d '{"visit":2}' -H 'Idempotency-Key: k1' -D "$WORK/reuse.head" \
    -o /dev/null "$ENTRY/raspored/visits?delay=400"
expect "a reused key" "$(status_of reuse)" 422
expect "a reused key" "$(header_of reuse X-Dandelionfork-Outcome)" not-run

# The reply to the claim's write is lost after it took effect.
platform_control "lose?writes=1"
get -d '{"visit":3}' -H 'Idempotency-Key: k3' -D "$WORK/lost.head" \
    -o /dev/null "$ENTRY/raspored/visits"
expect "a lost reply" "$(status_of lost)" 200
expect "executions after a lost reply" "$(executions total)" 2

# The store is down: a keyed call is refused, one without goes on.
platform_control "down?on=1"
get -d '{"visit":4}' -H 'Idempotency-Key: k4' -D "$WORK/down.head" \
    -o /dev/null "$ENTRY/raspored/visits"
expect "keyed, store down" "$(status_of down)" 503
expect "keyed, store down" "$(header_of down X-Dandelionfork-Outcome)" not-run
[ -n "$(header_of down Retry-After)" ] || fail "no Retry-After"
get -d '{"visit":5}' -D "$WORK/plain.head" -o /dev/null \
    "$ENTRY/raspored/visits"
expect "without a key, store down" "$(status_of plain)" 200
platform_control "down?on=0"
expect "executions around an outage" "$(executions total)" 3

# The agent with the claim is restarted: nobody knows, so nothing is run.
request sixth -d '{"visit":6}' -H 'Idempotency-Key: k6' \
    -H 'X-Time-Limit-Ms: 3000' "$ENTRY/raspored/visits?delay=1500"
ran_four() { [ "$(executions total)" = 4 ]; }
wait_until ran_four
for n in 1 2; do
    kill_hard "raspored-$n"
    start_agent "raspored-$n"
done
reap sixth || fail "sixth: curl status $?"
expect "restarted agent" "$(header_of sixth X-Dandelionfork-Outcome)" unknown
get -d '{"visit":6}' -H 'Idempotency-Key: k6' -D "$WORK/repeat.head" \
    -H 'X-Time-Limit-Ms: 2000' -o /dev/null \
    "$ENTRY2/raspored/visits?delay=1500"
expect "repeat after a restart" \
    "$(header_of repeat X-Dandelionfork-Outcome)" unknown
expect "executions after a restart" "$(executions total)" 4
