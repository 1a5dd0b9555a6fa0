# An engine ends a stream early, in good HTTP form: the caller gets an error
# and a broken connection, never a short answer that looks whole. A whole
# answer is tried again.
. "$(dirname "$0")/lib/fleet.sh"
start_fleet
for n in 1 2; do
    curl -s -X POST "http://$IP:710$n/control/truncate?after=3" -o /dev/null
done
prompt 2000 20 true >"$WORK/prompt"
request cut -d @"$WORK/prompt" "$ENTRY/v1/completions"
reap cut && fail "a short stream looks whole to curl"
grep -q '"outcome":"ran"' "$WORK/cut.body" || fail "no truthful error"
grep -q 'DONE' "$WORK/cut.body" && fail "a short stream claims to be whole"
wait_until engines_are_empty
