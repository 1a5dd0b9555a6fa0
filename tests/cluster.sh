# Functions to run a small fleet of real processes in a test or demonstration.
# The platform is a fake of Consul.
# The sourcing script sets BIN, the build folder. Each process is signalled and
# reaped by the process id that start has recorded. Functions wait for events
# and never for a fixed time.

set -eu
. "$(dirname "${BASH_SOURCE[0]}")/address.sh"
take_address "${IP:-127.50.0.1}"
WORK=$(mktemp -d)
declare -A PIDS
declare -A PORTS
INSTANCES="" # elements of the platform's list, in JSON
GENERATION=0 # of the tables that were applied last

# fail MESSAGE: prints the end of each log and ends the script.
fail() {
    trap - ERR
    echo "FAILED: $*" >&2
    for log in "$WORK"/*.log; do
        echo "--- ${log##*/}" >&2
        tail -n ${LOG_LINES:-15} "$log" >&2
    done
    exit 1
}

clean_up() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2>/dev/null || true
    done
    for name in "${!PIDS[@]}"; do
        wait "${PIDS[$name]}" 2>/dev/null || true
    done
    rm -rf "$WORK"
}
trap clean_up EXIT
trap 'exit 143' TERM INT

# start NAME COMMAND...: runs the command in the background. Its output goes to
# $WORK/NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# reap NAME: waits until the process ends and returns its exit status.
reap() {
    local status=0
    wait "${PIDS[$1]}" || status=$?
    unset "PIDS[$1]"
    return $status
}

# signal SIGNAL NAME
signal() {
    kill "-$1" "${PIDS[$2]}"
}

# kill_and_reap NAME: sends SIGKILL unless the process has ended.
kill_and_reap() {
    signal KILL "$1" 2>/dev/null || true
    reap "$1" || true
}

# wait_until COMMAND...: repeats the command until it succeeds. The test fails
# after MAX_TRIES tries (a minute by default), so that none hangs for ever.
wait_until() {
    local tries=0
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        [ "$tries" -lt ${MAX_TRIES:-3000} ] ||
            fail "this did not succeed in time: $*"
        sleep 0.02
    done
}

# wait_log NAME PATTERN: waits until the log of the process has the pattern.
wait_log() {
    wait_until grep -q -- "$2" "$WORK/$1.log"
}

# fetch CURL_ARGUMENTS...: sends a request and prints the body of the
# response.
fetch() {
    curl -s -H 'Expect:' --max-time "${MAX_TIME:-120}" "$@"
}

# json_field NAME: prints the value of this field of the JSON object on its
# input.
json_field() {
    sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

start_platform() {
    PORTS[platform]=7000
    start platform "$BIN/tests/fake_platform" --ip "$IP" --port 7000
    wait_log platform ready
}

# platform_control PATH [CURL_ARGUMENTS]: controls the fake platform.
platform_control() {
    curl -s -X PUT "http://$IP:${PORTS[platform]}/control/$1" \
        "${@:2}" -o /dev/null
}

# start_engine NAME PORT [ARGUMENTS...]
start_engine() {
    PORTS[$1]=$2
    start "$1" "$BIN/tests/fake_engine" --ip "$IP" --port "$2" "${@:3}"
    wait_log "$1" ready
}

# start_plain NAME PORT
start_plain() {
    PORTS[$1]=$2
    start "$1" "$BIN/tests/fake_plain" --ip "$IP" --port "$2"
    wait_log "$1" ready
}

# write_agent_settings NAME PORT ENDPOINT DATA_CENTRE [LINES]: writes the
# settings of an agent, with further lines for [agent], and adds it to
# INSTANCES.
write_agent_settings() {
    PORTS[$1]=$2
    cat >"$WORK/$1.ini" <<END
[agent]
instance = $1
data_centre = $4
listen = $IP:$2
endpoint = $IP:${PORTS[$3]}
health_interval = 100ms
${5:-}
[platform]
store = $IP:${PORTS[platform]}
[log]
level = debug
END
    INSTANCES="$INSTANCES${INSTANCES:+,}$(instance_json "$1" "$4" passing)"
}

# instance_json NAME DATA_CENTRE STATUS: prints an element of the platform's
# list.
instance_json() {
    printf '{"Service":{"ID":"%s","Address":"%s","Port":%d,' \
        "$1" "$IP" "${PORTS[$1]}"
    printf '"Meta":{"data_centre":"%s"}},"Checks":[{"Status":"%s"}]}' \
        "$2" "$3"
}

# start_agent NAME
start_agent() {
    start "$1" "$BIN/dandelionfork-agent" --settings "$WORK/$1.ini"
    wait_log "$1" "the endpoint answers"
}

# publish_instances: gives the platform the list in INSTANCES.
publish_instances() {
    platform_control instances -d "[$INSTANCES]"
}

# apply_tables ROUTES_FILE POOLS_FILE: writes them to the platform as the next
# generation.
apply_tables() {
    GENERATION=$((GENERATION + 1))
    "$BIN/tests/make_head" "$GENERATION" "$1" "$2" >"$WORK/head.json"
    curl -s -X PUT --data-binary "@$WORK/head.json" -o /dev/null \
        "http://$IP:${PORTS[platform]}/v1/kv/dandelionfork/head"
}

# start_entry NAME PORT DATA_CENTRE [LINES]: with further lines for [entry].
# The entry drains without a grace, unless the lines set drain_grace.
start_entry() {
    local grace="drain_grace = 0s"
    case "${4:-}" in *drain_grace*) grace="" ;; esac
    PORTS[$1]=$2
    cat >"$WORK/$1.ini" <<END
[entry]
instance = $1
data_centre = $3
listen = $IP:$2
$grace
${4:-}
[platform]
store = $IP:${PORTS[platform]}
[log]
level = debug
END
    start "$1" "$BIN/dandelionfork-entry" --settings "$WORK/$1.ini"
    wait_log "$1" "list of instances taken"
    wait_until curl -sf "http://$IP:$2/healthz"
}

# metric ENTRY NAME: prints the value of an entry's counter, 0 if it is
# missing.
metric() {
    fetch "http://$IP:${PORTS[$1]}/metrics" |
        awk -v name="$2" '$1 == name { value = $2 } END { print value + 0 }'
}

# prompt BYTES [MAX_TOKENS] [STREAM] [LETTER]: prints the body of a completion
# request. STREAM is true or false; the prompt repeats the letter.
prompt() {
    printf '{"model":"savjetnik","max_tokens":%d,"stream":%s,"prompt":"' \
        "${2:-8}" "${3:-false}"
    head -c "$1" /dev/zero | tr '\0' "${4:-x}"
    printf '"}'
}
