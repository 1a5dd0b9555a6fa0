# An engine is killed while its agent runs. The other engine responds to the
# running prompt, and the agent makes no offers until its engine responds
# again.
ENGINE_ARGUMENTS="--token-us 20000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

prompt 4000 50 >"$WORK/prompt"
start_request whole -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until engines_hold_something
n=$(busy_engine)
kill_and_reap "engine-$n"
reap whole || fail "the running prompt: curl status $?"
expect "prompt on a killed engine" "$(status_of whole)" 200
wait_log "savjetnik-$n" "the endpoint does not answer"
other=$((3 - n))
for i in 1 2 3 4; do
    prompt 3000 2 false "$i" >"$WORK/prompt"
    fetch -d @"$WORK/prompt" -D "$WORK/one.head" -o /dev/null \
        "$ENTRY/v1/completions"
    expect "with one engine" "$(status_of one)" 200
done
kill_and_reap "engine-$other"
wait_log "savjetnik-$other" "the endpoint does not answer"
fetch -d @"$WORK/prompt" -D "$WORK/none.head" -o "$WORK/none.body" \
    -H 'X-Time-Limit-Ms: 2000' "$ENTRY/v1/completions"
expect "with no engine" "$(status_of none)" 503
expect "with no engine" "$(header_of none X-Dandelionfork-Outcome)" not-run
start "engine-$n" "$BIN/tests/fake_engine" --ip "$IP" --port "710$n"
engine_responds() {
    [ "$(curl -s -H 'Expect:' -d @"$WORK/prompt" -o /dev/null \
        -w '%{http_code}' "$ENTRY/v1/completions")" = 200 ]
}
wait_until engine_responds
