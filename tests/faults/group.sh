# Prompts that need more than twice one engine's memory: the memory of several
# engines, all or nothing; and at every step a death (a member's agent, its
# engine, the entry, the caller). Afterwards no engine holds anything.
. "$(dirname "$0")/lib/fleet.sh"

start_platform
engines=4
start_one_engine() {
    start_engine "engine-$1" "710$1" --token-us 20000 --memory-tokens 2000 \
        --prefill-rate 4000
}
for n in $(seq $engines); do
    start_one_engine "$n"
    agent_settings "savjetnik-$n" "720$n" "engine-$n" split-a "lease = 300ms"
done
list_instances
cat >"$WORK/routes.ini" <<'END'
[savjetnik]
paths = /v1/completions
pool = savjetnik
class = prompt
time_limit = 20s
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

# held: tokens of all engines together that can be asked.
held() {
    local n sum=0
    for n in $(seq $engines); do
        sum=$((sum + $(engine_stat "$n" held_tokens || echo 0)))
    done
    echo "$sum"
}
nothing_held() { [ "$(held)" = 0 ]; }
held_at_least() { [ "$(held)" -ge "$1" ]; }

# busy_member: the first engine that has a stream; the last if none has.
busy_member() {
    local n
    for n in $(seq $engines); do
        if [ "$(engine_stat "$n" streams)" != 0 ]; then break; fi
    done
    echo "$n"
}

# 4600 tokens: three parts of 1537.
prompt 18000 100 true >"$WORK/large"
complete=$ENTRY/v1/completions

get -d @"$WORK/large" -D "$WORK/whole.head" -o "$WORK/whole.body" "$complete"
expect "a prompt over three engines" "$(status_of whole)" 200
grep -q DONE "$WORK/whole.body" || fail "the answer is not whole"
expect "groups" "$(metric entry-1 dandelionfork_groups_total)" 1
wait_until nothing_held

# Two at once, four engines: each waits or is refused, neither for ever.
request one -d @"$WORK/large" "$complete"
request two -d @"$WORK/large" "$complete"
for name in one two; do
    reap $name || fail "$name: curl status $?"
    expect "$name" "$(status_of $name)" 200
done
wait_until nothing_held

# More than all engines have: refused at once.
prompt 60000 100 >"$WORK/huge"
get -d @"$WORK/huge" -D "$WORK/huge.head" -o /dev/null "$complete"
expect "more than there is" "$(status_of huge)" 413

# The caller goes away while memory is being held, and while it runs.
for tokens in 1500 4000; do
    request caller -d @"$WORK/large" "$complete"
    wait_until held_at_least $tokens
    kill_hard caller
    wait_until nothing_held
done

# A member's agent dies, early and late; then its engine.
for step in 1500 3000 4600; do
    request member -d @"$WORK/large" "$complete"
    wait_until held_at_least $step
    n=$(busy_member)
    kill_hard "savjetnik-$n"
    reap member || true
    start_agent "savjetnik-$n"
    wait_until nothing_held
done
for step in 1500 4600; do
    request member -d @"$WORK/large" "$complete"
    wait_until held_at_least $step
    n=$(busy_member)
    kill_hard "engine-$n"
    reap member || true
    start_one_engine "$n"
    wait_until nothing_held
done

# A member's agent is frozen: its part lapses, and it is free on waking.
request frozen -d @"$WORK/large" "$complete"
wait_until held_at_least 4600
n=$(busy_member)
signal STOP "savjetnik-$n"
reap frozen || true
signal CONT "savjetnik-$n"
wait_until nothing_held

# The entry dies, early and late.
for step in 1500 4600; do
    request orphan -d @"$WORK/large" "$complete"
    wait_until held_at_least $step
    kill_hard entry-1
    reap orphan && fail "an orphan looks whole"
    wait_until nothing_held
    start_entry entry-1 7301 split-a "silence = 1500ms"
done

get -d @"$WORK/large" -D "$WORK/after.head" -o /dev/null "$complete"
expect "afterwards" "$(status_of after)" 200
