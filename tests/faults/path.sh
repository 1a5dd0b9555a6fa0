# One request of each kind through entry and agent, whole and streamed, the
# same bytes as from the engine itself; and both processes end in order.
. "$(dirname "$0")/../cluster.sh"
tables=$(dirname "$0")/../../examples/uspon

start_platform
start_engine engine-1 7101 --token-us 100
start_plain plain-1 7102
agent_settings savjetnik-1 7201 engine-1 split-a
agent_settings raspored-1 7202 plain-1 split-a
list_instances
apply_tables "$tables/routes.ini" "$tables/pools.ini"
start_agent savjetnik-1
start_agent raspored-1
start_entry entry-1 7301 split-a
entry=http://$IP:7301

for stream in false true; do
    prompt 4000 20 "$stream" >"$WORK/body"
    get -d @"$WORK/body" "http://$IP:7101/v1/completions" >"$WORK/direct"
    get -d @"$WORK/body" "$entry/v1/completions" >"$WORK/routed"
    cmp "$WORK/direct" "$WORK/routed" || fail "another answer, stream=$stream"
done
get -d '{"visit":1}' "http://$IP:7102/raspored/visits" >"$WORK/direct"
get -d '{"visit":1}' "$entry/raspored/visits" >"$WORK/routed"
cmp "$WORK/direct" "$WORK/routed" || fail "another answer of the service"

for name in entry-1 savjetnik-1 raspored-1; do
    signal TERM "$name"
    reap "$name" || fail "$name ended with a bad status"
done
held=$(get "http://$IP:7101/control/stats" | json_field held_tokens)
[ "$held" = 0 ] || fail "the engine still holds $held tokens"
