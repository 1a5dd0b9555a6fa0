# An idempotency key makes repeated requests run once: at the same time and
# later, through either entry, and when the response to the claim is lost.
# Without the store a request with a key is refused; after an agent's restart
# its outcome is unknown.
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

# Two requests at once through both entries run once and get the same response.
start_request first -d '{"visit":1}' -H 'Idempotency-Key: k1' \
    "$ENTRY/raspored/visits?delay=400"
start_request second -d '{"visit":1}' -H 'Idempotency-Key: k1' \
    "$ENTRY2/raspored/visits?delay=400"
reap first || fail "first: curl status $?"
reap second || fail "second: curl status $?"
expect "first" "$(status_of first)" 200
expect "second" "$(status_of second)" 200
cmp "$WORK/first.body" "$WORK/second.body" ||
    fail "one key got two different responses"
expect "executions" "$(executions total)" 1

# A later repeat through the same entry gets the same response.
fetch -d '{"visit":1}' -H 'Idempotency-Key: k1' \
    "$ENTRY/raspored/visits?delay=400" | cmp - "$WORK/first.body" ||
    fail "the later repeat got another response"
expect "executions after a later repeat" "$(executions total)" 1

# The same key with another request is refused.
fetch -d '{"visit":2}' -H 'Idempotency-Key: k1' -D "$WORK/reuse.head" \
    -o /dev/null "$ENTRY/raspored/visits?delay=400"
expect "a reused key" "$(status_of reuse)" 422
expect "a reused key" "$(header_of reuse X-Dandelionfork-Outcome)" not-run

# The store applies the claim's write, but its response is lost.
platform_control "lose?writes=1"
fetch -d '{"visit":3}' -H 'Idempotency-Key: k3' -D "$WORK/lost.head" \
    -o /dev/null "$ENTRY/raspored/visits"
expect "a lost response" "$(status_of lost)" 200
expect "executions after a lost response" "$(executions total)" 2

# While the store is down, a request with a key is refused and one without a
# key is served.
platform_control "down?on=1"
fetch -d '{"visit":4}' -H 'Idempotency-Key: k4' -D "$WORK/down.head" \
    -o /dev/null "$ENTRY/raspored/visits"
expect "with a key, store down" "$(status_of down)" 503
expect "with a key, store down" \
    "$(header_of down X-Dandelionfork-Outcome)" not-run
[ -n "$(header_of down Retry-After)" ] ||
    fail "the refused request has no Retry-After"
fetch -d '{"visit":5}' -D "$WORK/plain.head" -o /dev/null \
    "$ENTRY/raspored/visits"
expect "without a key, store down" "$(status_of plain)" 200
platform_control "down?on=0"
expect "executions around an outage" "$(executions total)" 3

# The agent that ran the request is restarted. The outcome is unknown, so a
# repeat does not run the request.
start_request sixth -d '{"visit":6}' -H 'Idempotency-Key: k6' \
    -H 'X-Time-Limit-Ms: 3000' "$ENTRY/raspored/visits?delay=1500"
four_bookings_ran() { [ "$(executions total)" = 4 ]; }
wait_until four_bookings_ran
for n in 1 2; do
    kill_and_reap "raspored-$n"
    start_agent "raspored-$n"
done
reap sixth || fail "sixth: curl status $?"
expect "restarted agent" "$(header_of sixth X-Dandelionfork-Outcome)" unknown
fetch -d '{"visit":6}' -H 'Idempotency-Key: k6' -D "$WORK/repeat.head" \
    -H 'X-Time-Limit-Ms: 2000' -o /dev/null \
    "$ENTRY2/raspored/visits?delay=1500"
expect "repeat after a restart" \
    "$(header_of repeat X-Dandelionfork-Outcome)" unknown
expect "executions after a restart" "$(executions total)" 4
