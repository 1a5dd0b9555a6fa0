# Requests through entry and agent, with and without streaming, get the same
# bytes as directly from the engine or service. The entry and the agents end
# with status 0 on SIGTERM.
. "$(dirname "$0")/../cluster.sh"
tables=$(dirname "$0")/../../examples/uspon

start_platform
start_engine engine-1 7101 --token-us 100
start_plain plain-1 7102
write_agent_settings savjetnik-1 7201 engine-1 split-a
write_agent_settings raspored-1 7202 plain-1 split-a
publish_instances
apply_tables "$tables/routes.ini" "$tables/pools.ini"
start_agent savjetnik-1
start_agent raspored-1
start_entry entry-1 7301 split-a
entry=http://$IP:7301

for stream in false true; do
    prompt 4000 20 "$stream" >"$WORK/body"
    fetch -d @"$WORK/body" "http://$IP:7101/v1/completions" >"$WORK/direct"
    fetch -d @"$WORK/body" "$entry/v1/completions" >"$WORK/routed"
    cmp "$WORK/direct" "$WORK/routed" ||
        fail "the routed response differs, stream=$stream"
done
fetch -d '{"visit":1}' "http://$IP:7102/raspored/visits" >"$WORK/direct"
fetch -d '{"visit":1}' "$entry/raspored/visits" >"$WORK/routed"
cmp "$WORK/direct" "$WORK/routed" ||
    fail "the routed response of the service differs"

for name in entry-1 savjetnik-1 raspored-1; do
    signal TERM "$name"
    reap "$name" || fail "$name ended with status $?"
done
held=$(fetch "http://$IP:7101/control/stats" | json_field held_tokens)
[ "$held" = 0 ] || fail "the engine still holds $held tokens"
