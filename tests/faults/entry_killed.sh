# An entry is killed with waiting reservations and open streams. The engines
# must free the memory of its requests, and the other entry continues to serve.
ENGINE_ARGUMENTS="--token-us 20000"
AGENT_SETTINGS="lease = 500ms"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

for n in 1 2 3 4 5 6; do
    prompt 8000 500 true "$n" >"$WORK/prompt-$n"
    start_request "stream-$n" -d @"$WORK/prompt-$n" "$ENTRY/v1/completions"
done
for n in 1 2; do
    prompt 400000 10 true "$n" >"$WORK/long-$n"
    start_request "long-$n" -d @"$WORK/long-$n" "$ENTRY/v1/completions"
done
wait_until has_body stream-1
kill_and_reap entry-1
for name in stream-{1,2,3,4,5,6} long-{1,2}; do
    reap "$name" && fail "curl took $name for complete"
done
wait_until engines_are_empty
prompt 2000 2 >"$WORK/prompt"
fetch -d @"$WORK/prompt" -D "$WORK/after.head" -o /dev/null \
    "$ENTRY2/v1/completions"
expect "request through the other entry" "$(status_of after)" 200
