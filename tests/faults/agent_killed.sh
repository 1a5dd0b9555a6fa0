# An agent dies in the middle of its work: a whole prompt is answered by the
# other endpoint, a streamed one fails openly, a booking's outcome is unknown
# and it ran once; the engine's memory is free when the agent is back.
ENGINE_ARGUMENTS="--token-us 20000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

prompt 4000 50 >"$WORK/prompt"
request whole -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until engines_hold_something
n=$(busy_engine)
kill_hard "savjetnik-$n"
reap whole || fail "the whole prompt: curl status $?"
expect "whole prompt" "$(status_of whole)" 200
get -d @"$WORK/prompt" "http://$IP:7101/v1/completions" |
    cmp - "$WORK/whole.body" || fail "the whole prompt has another answer"
start_agent "savjetnik-$n"
wait_until engines_are_empty

prompt 4000 100 true >"$WORK/prompt"
request streamed -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until has_body streamed
n=$(busy_engine)
kill_hard "savjetnik-$n"
reap streamed && fail "a cut stream looks whole to curl"
grep -q '^event: error' "$WORK/streamed.body" || fail "no error event"
start_agent "savjetnik-$n"
wait_until engines_are_empty

request booking -d '{"visit":1}' -H 'X-Time-Limit-Ms: 3000' \
    "$ENTRY/raspored/visits?delay=1000"
wait_until plain_runs_something
kill_hard "raspored-$(busy_plain)"
reap booking || fail "the booking: curl status $?"
expect "booking" "$(status_of booking)" 504
expect "booking" "$(header_of booking X-Dandelionfork-Outcome)" unknown
[ -n "$(header_of booking Retry-After)" ] || fail "no Retry-After"
expect "executions" "$(executions total)" 1
