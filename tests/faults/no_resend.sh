# A client resends a request by itself when a persistent
# connection turns out to be closed. If a service runs an unsafe request and
# then closes the connection, it must get the request only once, also after
# successful requests.
. "$(dirname "$0")/lib/fleet.sh"
start_platform
start_plain plain-1 7111
write_agent_settings raspored-1 7211 plain-1 split-a
publish_instances
apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"
start_agent raspored-1
start_entry entry-1 7301 split-a

for n in 1 2 3; do
    fetch -d "{\"visit\":$n}" -D "$WORK/good.head" -o /dev/null \
        "$ENTRY/raspored/visits"
    expect "a successful request" "$(status_of good)" 200
done
fetch -d '{"visit":4}' -D "$WORK/cut.head" -o /dev/null \
    "$ENTRY/raspored/visits?cut=1"
expect "a request whose connection is closed" "$(status_of cut)" 502
expect "a request whose connection is closed" \
    "$(header_of cut X-Dandelionfork-Outcome)" unknown
counts=$(fetch "http://$IP:7111/control/executions")
expect "executions" "$(echo "$counts" | json_field total)" 4
expect "most executions of one request" "$(echo "$counts" | json_field most)" 1
