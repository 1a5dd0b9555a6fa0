# The small fleet of most fault tests: engine-1 and engine-2 behind the agents
# savjetnik-1 and savjetnik-2, the plain services plain-1 and plain-2 behind
# the agents raspored-1 and raspored-2, entry-1 and entry-2. A test may set
# ENGINE_ARGUMENTS (further arguments of the engines), AGENT_SETTINGS and
# ENTRY_SETTINGS (further lines of their settings).
. "$(dirname "${BASH_SOURCE[0]}")/../../cluster.sh"
TABLES=$(dirname "${BASH_SOURCE[0]}")/../../../examples/uspon
ENTRY=http://$IP:7301
ENTRY2=http://$IP:7302

start_fleet() {
    local n
    start_platform
    for n in 1 2; do
        # shellcheck disable=SC2086
        start_engine "engine-$n" "710$n" ${ENGINE_ARGUMENTS:-}
        start_plain "plain-$n" "711$n"
        write_agent_settings "savjetnik-$n" "720$n" "engine-$n" split-a \
            "${AGENT_SETTINGS:-}"
        write_agent_settings "raspored-$n" "721$n" "plain-$n" split-a \
            "${AGENT_SETTINGS:-}"
    done
    publish_instances
    apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"
    for n in 1 2; do
        start_agent "savjetnik-$n"
        start_agent "raspored-$n"
    done
    start_entry entry-1 7301 split-a "${ENTRY_SETTINGS:-}"
    start_entry entry-2 7302 split-a "${ENTRY_SETTINGS:-}"
}

# start_request NAME CURL_ARGUMENTS...: sends a request in the background. The
# response goes to $WORK/NAME.head and $WORK/NAME.body; reap gives curl's
# status.
start_request() {
    local name=$1
    shift
    start "$name" curl -s -N -H 'Expect:' --max-time 120 \
        -D "$WORK/$name.head" -o "$WORK/$name.body" "$@"
}

# engine_stat NUMBER NAME: prints a counter of a fake engine.
engine_stat() {
    fetch "http://$IP:710$1/control/stats" | json_field "$2"
}

# executions NAME: prints a counter, summed over both fake plain services.
executions() {
    local n sum=0
    for n in 1 2; do
        sum=$((sum + $(fetch "http://$IP:711$n/control/executions" |
            json_field "$1")))
    done
    echo "$sum"
}

engines_are_empty() {
    [ "$(engine_stat 1 held_tokens)" = 0 ] &&
        [ "$(engine_stat 2 held_tokens)" = 0 ]
}

engines_hold_something() {
    ! engines_are_empty
}

plain_ran_something() {
    [ "$(executions total)" -gt 0 ]
}

# expect WHAT ACTUAL EXPECTED
expect() {
    [ "$2" = "$3" ] || fail "$1: got \"$2\", expected \"$3\""
}

# status_of NAME, header_of NAME HEADER, has_body NAME: of the response to
# a request of that name.
status_of() {
    awk 'NR == 1 { print $2 }' "$WORK/$1.head"
}

header_of() {
    tr -d '\r' <"$WORK/$1.head" |
        awk -F': ' -v name="$2" 'tolower($1) == tolower(name) { print $2 }'
}

has_body() {
    [ -s "$WORK/$1.body" ]
}

# busy_engine, busy_plain: print the number of the engine that has a stream,
# and of the service that has run a request, if only one has.
busy_engine() {
    if [ "$(engine_stat 1 streams)" != 0 ]; then echo 1; else echo 2; fi
}

busy_plain() {
    if [ "$(fetch "http://$IP:7111/control/executions" | json_field total)" \
        != 0 ]; then echo 1; else echo 2; fi
}
