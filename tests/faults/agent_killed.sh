# An agent is killed while its work runs. The other endpoint responds to a
# prompt without streaming, a streamed response ends with an error event, and a
# booking runs once with an unknown outcome. The restarted agent frees the
# memory that its engine still holds.
ENGINE_ARGUMENTS="--token-us 20000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

prompt 4000 50 >"$WORK/prompt"
start_request whole -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until engines_hold_something
n=$(busy_engine)
kill_and_reap "savjetnik-$n"
reap whole || fail "the prompt without streaming: curl status $?"
expect "prompt without streaming" "$(status_of whole)" 200
fetch -d @"$WORK/prompt" "http://$IP:7101/v1/completions" |
    cmp - "$WORK/whole.body" ||
        fail "the engines responded differently to the same prompt"
start_agent "savjetnik-$n"
wait_until engines_are_empty

prompt 4000 100 true >"$WORK/prompt"
start_request streamed -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until has_body streamed
n=$(busy_engine)
kill_and_reap "savjetnik-$n"
reap streamed && fail "curl took a cut stream for complete"
grep -q '^event: error' "$WORK/streamed.body" ||
    fail "the cut stream has no error event"
start_agent "savjetnik-$n"
wait_until engines_are_empty

start_request booking -d '{"visit":1}' -H 'X-Time-Limit-Ms: 3000' \
    "$ENTRY/raspored/visits?delay=1000"
wait_until plain_ran_something
kill_and_reap "raspored-$(busy_plain)"
reap booking || fail "the booking: curl status $?"
expect "booking" "$(status_of booking)" 504
expect "booking" "$(header_of booking X-Dandelionfork-Outcome)" unknown
[ -n "$(header_of booking Retry-After)" ] ||
    fail "the booking's response has no Retry-After"
expect "executions" "$(executions total)" 1
