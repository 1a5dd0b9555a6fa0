# An entry dies with reservations waiting and streams open: no engine keeps
# memory, and the other entry serves on.
ENGINE_ARGUMENTS="--token-us 20000"
AGENT_SETTINGS="lease = 500ms"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

for n in 1 2 3 4 5 6; do
    prompt 8000 500 true "$n" >"$WORK/prompt-$n"
    request "stream-$n" -d @"$WORK/prompt-$n" "$ENTRY/v1/completions"
done
for n in 1 2; do
    prompt 400000 10 true "$n" >"$WORK/long-$n"
    request "long-$n" -d @"$WORK/long-$n" "$ENTRY/v1/completions"
done
wait_until has_body stream-1
kill_hard entry-1
for name in stream-{1,2,3,4,5,6} long-{1,2}; do
    reap "$name" && fail "$name looks whole"
done
wait_until engines_are_empty
prompt 2000 2 >"$WORK/prompt"
get -d @"$WORK/prompt" -D "$WORK/after.head" -o /dev/null \
    "$ENTRY2/v1/completions"
expect "after" "$(status_of after)" 200
