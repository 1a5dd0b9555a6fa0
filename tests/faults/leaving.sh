# A draining endpoint gets no new work and completes what runs. Either SIGTERM
# to its agent or its status in the platform's list makes it drain.
ENGINE_ARGUMENTS="--token-us 10000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

prompt 2000 100 true >"$WORK/prompt"
start_request running -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until engines_hold_something
n=$(busy_engine)
other=$((3 - n))
signal TERM "savjetnik-$n"
wait_log "savjetnik-$n" draining
before=$(engine_stat "$n" started)
for i in 1 2 3 4 5 6; do
    prompt 2000 1 false "$i" >"$WORK/prompt-$i"
    fetch -d @"$WORK/prompt-$i" -D "$WORK/new.head" -o /dev/null \
        "$ENTRY/v1/completions"
    expect "request beside a draining agent" "$(status_of new)" 200
done
expect "requests started at the draining agent's engine" \
    "$(engine_stat "$n" started)" "$before"
reap running || fail "the running stream was cut: curl status $?"
grep -q DONE "$WORK/running.body" || fail "the running stream is not complete"
reap "savjetnik-$n" || fail "the agent ended with status $?"

start_agent "savjetnik-$n"
INSTANCES="$(instance_json "savjetnik-$n" split-a critical),$(
    instance_json "savjetnik-$other" split-a passing)"
publish_instances
wait_log entry-1 "list of instances taken listed=2"
before=$(engine_stat "$n" started)
for i in 1 2 3 4 5 6; do
    fetch -d @"$WORK/prompt-$i" -D "$WORK/new.head" -o /dev/null \
        "$ENTRY/v1/completions"
    expect "request beside an endpoint listed as critical" \
        "$(status_of new)" 200
done
expect "requests started at the critical endpoint" \
    "$(engine_stat "$n" started)" "$before"
