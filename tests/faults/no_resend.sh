# neon sends a request again by itself when a kept connection turns out to be
# closed. A service that executes a call and then cuts the connection must see
# a call that may not be repeated once, also after calls that went well.
. "$(dirname "$0")/lib/fleet.sh"
start_platform
start_plain plain-1 7111
agent_settings raspored-1 7211 plain-1 split-a
list_instances
apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"
start_agent raspored-1
start_entry entry-1 7301 split-a

for n in 1 2 3; do
    get -d "{\"visit\":$n}" -D "$WORK/good.head" -o /dev/null \
        "$ENTRY/raspored/visits"
    expect "a good call" "$(status_of good)" 200
done
get -d '{"visit":4}' -D "$WORK/cut.head" -o /dev/null \
    "$ENTRY/raspored/visits?cut=1"
expect "a cut call" "$(status_of cut)" 502
expect "a cut call" "$(header_of cut X-Dandelionfork-Outcome)" unknown
told=$(get "http://$IP:7111/control/executions")
expect "executions" "$(echo "$told" | json_field total)" 4
expect "most executions of one call" "$(echo "$told" | json_field most)" 1
