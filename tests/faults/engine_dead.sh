# An engine dies under its agent: what ran there is answered elsewhere, its
# agent offers nothing until the engine is back, and then it does again.
ENGINE_ARGUMENTS="--token-us 20000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

prompt 4000 50 >"$WORK/prompt"
request whole -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until engines_hold_something
n=$(busy_engine)
kill_hard "engine-$n"
reap whole || fail "curl status $?"
expect "prompt on a dead engine" "$(status_of whole)" 200
wait_log "savjetnik-$n" "the endpoint does not answer"
other=$((3 - n))
for i in 1 2 3 4; do
    prompt 3000 2 false "$i" >"$WORK/prompt"
    get -d @"$WORK/prompt" -D "$WORK/one.head" -o /dev/null \
        "$ENTRY/v1/completions"
    expect "with one engine" "$(status_of one)" 200
done
kill_hard "engine-$other"
wait_log "savjetnik-$other" "the endpoint does not answer"
get -d @"$WORK/prompt" -D "$WORK/none.head" -o "$WORK/none.body" \
    -H 'X-Time-Limit-Ms: 2000' "$ENTRY/v1/completions"
expect "with no engine" "$(status_of none)" 503
expect "with no engine" "$(header_of none X-Dandelionfork-Outcome)" not-run
start "engine-$n" "$BIN/tests/fake_engine" --ip "$IP" --port "710$n"
answered() {
    [ "$(curl -s -H 'Expect:' -d @"$WORK/prompt" -o /dev/null \
        -w '%{http_code}' "$ENTRY/v1/completions")" = 200 ]
}
wait_until answered
