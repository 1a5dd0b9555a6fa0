# An engine ends a stream early, but as a well-formed HTTP message. The caller
# must get an error event and a broken connection, not a short response
# that looks complete. (A request without streaming is retried instead, which
# this test doesn't cover.)
. "$(dirname "$0")/lib/fleet.sh"
start_fleet
for n in 1 2; do
    curl -s -X POST "http://$IP:710$n/control/truncate?after=3" -o /dev/null
done
prompt 2000 20 true >"$WORK/prompt"
start_request cut -d @"$WORK/prompt" "$ENTRY/v1/completions"
reap cut && fail "curl took a truncated stream for complete"
grep -q '"outcome":"ran"' "$WORK/cut.body" ||
    fail "the stream's error lacks the outcome ran"
grep -q 'DONE' "$WORK/cut.body" && fail "a truncated stream has the end marker"
wait_until engines_are_empty
