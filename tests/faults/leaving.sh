# A leaving endpoint gets no new work: by the platform's list alone, and by
# SIGTERM to its agent alone; what runs is finished.
ENGINE_ARGUMENTS="--token-us 10000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

prompt 2000 100 true >"$WORK/prompt"
request running -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until engines_hold_something
n=$(busy_engine)
other=$((3 - n))
signal TERM "savjetnik-$n"
wait_log "savjetnik-$n" draining
before=$(engine_stat "$n" started)
for i in 1 2 3 4 5 6; do
    prompt 2000 1 false "$i" >"$WORK/prompt-$i"
    get -d @"$WORK/prompt-$i" -D "$WORK/new.head" -o /dev/null \
        "$ENTRY/v1/completions"
    expect "beside a draining agent" "$(status_of new)" 200
done
expect "started at the draining one" "$(engine_stat "$n" started)" "$before"
reap running || fail "a running stream was cut off: $?"
grep -q DONE "$WORK/running.body" || fail "a running stream is not whole"
reap "savjetnik-$n" || fail "the agent's status is $?"

start_agent "savjetnik-$n"
INSTANCES="$(instance "savjetnik-$n" split-a critical),$(
    instance "savjetnik-$other" split-a passing)"
list_instances
wait_log entry-1 "list of instances taken listed=2"
before=$(engine_stat "$n" started)
for i in 1 2 3 4 5 6; do
    get -d @"$WORK/prompt-$i" -D "$WORK/new.head" -o /dev/null \
        "$ENTRY/v1/completions"
    expect "beside a listed leaver" "$(status_of new)" 200
done
expect "started at the leaving one" "$(engine_stat "$n" started)" "$before"
