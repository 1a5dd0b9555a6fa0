# A service that answers with bytes without end: each request ends with a
# failure, and the memory of entry and agent keeps to their settings. They kept
# up to 8 MiB of each such response, in any number, the entry until the time
# limit and the agent as long as the record of the request.
. "$(dirname "$0")/lib/fleet.sh"
MEMORY_MIB=16
REQUESTS=40
WINDOW_KB=256
# What is kept is in the response, in an event and in the queue of a link, in
# arrays that double as they grow; of each request a window is on its way.
MAX_GROWTH_KB=$((6 * MEMORY_MIB * 1024 + 3 * WINDOW_KB * REQUESTS))
start_platform
PORTS[service]=7111
write_agent_settings raspored-1 7211 service split-a \
    "body_memory = ${MEMORY_MIB}MiB"
publish_instances
apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"

# start_all MODE: a new entry and agent, since they avoid a service that has
# failed.
start_all() {
    start service "$BIN/tests/fake_endless" --ip "$IP" --port 7111 --mode "$1"
    wait_log service ready
    start_agent raspored-1
    start_entry entry-1 7301 split-a "body_memory = ${MEMORY_MIB}MiB"
}

stop_all() {
    local name
    for name in entry-1 raspored-1 service; do
        kill_and_reap "$name" 2>/dev/null
        rm "$WORK/$name.log"
    done
}

memory_kb() {
    awk '$1 == "VmHWM:" { print $2 }' "/proc/${PIDS[$1]}/status"
}

# expect_failures WHAT PATH: sends the requests at once. None waits for its time
# limit.
expect_failures() {
    local n status
    for n in $(seq "$REQUESTS"); do
        start_request "request-$n" -d body "$ENTRY$2"
    done
    for n in $(seq "$REQUESTS"); do
        reap "request-$n" || fail "$1: a request got no response"
        status=$(status_of "request-$n")
        [[ $status = 50[23] ]] || fail "$1: status $status"
    done
}

# expect_flat WHAT NAME BEFORE_KB: the sanitizers keep freed memory, so that
# only a plain build tells.
expect_flat() {
    local grown_kb=$(($(memory_kb "$2") - $3))
    grep -qE '__(asan|tsan)_init' "$BIN/dandelionfork-agent" ||
        [ "$grown_kb" -lt "$MAX_GROWTH_KB" ] ||
        fail "$1: the memory of $2 has grown by $grown_kb KB"
}

# In the head, in what surrounds a body, and in a body, which has no end.
for mode in 0 1 2 3 4 5 6 10; do
    for path in /raspored/appointments /raspored/visits; do
        start_all $mode
        entry_kb=$(memory_kb entry-1)
        agent_kb=$(memory_kb raspored-1)
        for round in 1 2; do
            expect_failures "mode $mode, $path" $path
        done
        expect_flat "mode $mode, $path" entry-1 "$entry_kb"
        expect_flat "mode $mode, $path" raspored-1 "$agent_kb"
        stop_all
    done
done
