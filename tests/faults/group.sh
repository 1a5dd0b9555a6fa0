# A prompt needs more than twice one engine's memory, so that an entry reserves
# memory at a group of engines, at all or none. At each step a member's agent,
# its engine, the entry or the caller is killed, and afterwards no engine may
# hold memory.
. "$(dirname "$0")/lib/fleet.sh"

start_platform
engines=4
start_one_engine() {
    start_engine "engine-$1" "710$1" --token-us 20000 --memory-tokens 2000 \
        --prefill-rate 4000
}
for n in $(seq $engines); do
    start_one_engine "$n"
    write_agent_settings "savjetnik-$n" "720$n" "engine-$n" split-a \
        "lease = 300ms"
done
publish_instances
# The time limit is longer than the test waits: memory that is free by then was
# freed by its lease, and not by the end of the request's time.
cat >"$WORK/routes.ini" <<'END'
[savjetnik]
paths = /v1/completions
pool = savjetnik
class = prompt
time_limit = 10min
END
cat >"$WORK/pools.ini" <<'END'
[savjetnik]
class = prompt
endpoints = savjetnik-*
memory_tokens = 2000
prefill_rate = 4000
END
apply_tables "$WORK/routes.ini" "$WORK/pools.ini"
for n in $(seq $engines); do start_agent "savjetnik-$n"; done
start_entry entry-1 7301 split-a "silence = 1500ms"

# held_tokens: prints the tokens held by all engines that respond.
held_tokens() {
    local n sum=0
    for n in $(seq $engines); do
        sum=$((sum + $(engine_stat "$n" held_tokens || echo 0)))
    done
    echo "$sum"
}
nothing_held() { [ "$(held_tokens)" = 0 ]; }
held_at_least() { [ "$(held_tokens)" -ge "$1" ]; }

# busy_member: prints the number of the first engine with a stream, or of the
# last engine if none has one.
busy_member() {
    local n
    for n in $(seq $engines); do
        if [ "$(engine_stat "$n" streams)" != 0 ]; then break; fi
    done
    echo "$n"
}

# About 4600 tokens in three parts of 1537.
prompt 18000 100 true >"$WORK/large"
complete=$ENTRY/v1/completions

fetch -d @"$WORK/large" -D "$WORK/whole.head" -o "$WORK/whole.body" "$complete"
expect "a prompt over three engines" "$(status_of whole)" 200
grep -q DONE "$WORK/whole.body" || fail "the response is not complete"
expect "groups" "$(metric entry-1 dandelionfork_groups_total)" 1
wait_until nothing_held

# Two such prompts at once on four engines must not block each other for ever.
start_request one -d @"$WORK/large" "$complete"
start_request two -d @"$WORK/large" "$complete"
for name in one two; do
    reap $name || fail "$name: curl status $?"
    expect "$name" "$(status_of $name)" 200
done
wait_until nothing_held

# A prompt that needs more memory than all engines have is refused at once.
prompt 60000 100 >"$WORK/huge"
fetch -d @"$WORK/huge" -D "$WORK/huge.head" -o /dev/null "$complete"
expect "a prompt above the memory of all engines" "$(status_of huge)" 413

# The caller disconnects while memory is being reserved, and while the prompt
# runs.
for tokens in 1500 4000; do
    start_request caller -d @"$WORK/large" "$complete"
    wait_until held_at_least $tokens
    kill_and_reap caller
    wait_until nothing_held
done

# A member's agent, then a member's engine, is killed early and late.
for step in 1500 3000 4600; do
    start_request member -d @"$WORK/large" "$complete"
    wait_until held_at_least $step
    n=$(busy_member)
    kill_and_reap "savjetnik-$n"
    reap member || true
    start_agent "savjetnik-$n"
    wait_until nothing_held
done
for step in 1500 4600; do
    start_request member -d @"$WORK/large" "$complete"
    wait_until held_at_least $step
    n=$(busy_member)
    kill_and_reap "engine-$n"
    reap member || true
    start_one_engine "$n"
    wait_until nothing_held
done

# A member's agent is suspended: its hold expires, and its engine is free once
# the agent is resumed.
start_request frozen -d @"$WORK/large" "$complete"
wait_until held_at_least 4600
n=$(busy_member)
signal STOP "savjetnik-$n"
reap frozen || true
signal CONT "savjetnik-$n"
wait_until nothing_held

# The entry is killed early and late.
for step in 1500 4600; do
    start_request orphan -d @"$WORK/large" "$complete"
    wait_until held_at_least $step
    kill_and_reap entry-1
    reap orphan && fail "curl took the response of a killed entry for complete"
    wait_until nothing_held
    start_entry entry-1 7301 split-a "silence = 1500ms"
done

fetch -d @"$WORK/large" -D "$WORK/after.head" -o /dev/null "$complete"
expect "a large prompt afterwards" "$(status_of after)" 200
