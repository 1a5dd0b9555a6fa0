# Command lines and settings of the programs: help, version, check, and each
# kind of error with its place and exit status 2. Also a second process with
# the same instance id or address.
. "$(dirname "$0")/lib/fleet.sh"
root=$(dirname "$0")/../..

# expect_exit STATUS COMMAND...: runs the command and checks its exit status.
# Its output goes to $WORK/out.
expect_exit() {
    local expected=$1 status=0
    shift
    "$@" >"$WORK/out" 2>&1 || status=$?
    [ "$status" = "$expected" ] || {
        cat "$WORK/out" >&2
        fail "$*: status $status, expected $expected"
    }
}
expect_output() {
    grep -qF -- "$1" "$WORK/out" || {
        cat "$WORK/out" >&2
        fail "the output lacks: $1"
    }
}

for program in dandelionfork-entry dandelionfork-agent dandelionfork-gateway \
    dandelionfork; do
    expect_exit 0 "$BIN/$program" --help
    expect_output "Usage: $program"
    expect_exit 0 "$BIN/$program" --version
    expect_output "$program 0.1.0"
done
# Guards against a log that does not tell which build wrote it: the first line
# names the sources that this checkout has.
cmake -P "$root/cmake/build_id.cmake" >"$WORK/build_id" 2>&1
build_id=$(grep -o 'sources=[0-9a-f]\{16\}' "$WORK/build_id")
for role in entry agent gateway; do
    start "$role" "$BIN/dandelionfork-$role" \
        --settings "$root/examples/$role.ini"
    wait_log "$role" 'version: starts'
    head -n 1 "$WORK/$role.log" | grep -q "version: starts .*$build_id" ||
        fail "the first line of the $role's log does not name its build"
    kill_and_reap "$role"
done
expect_exit 0 "$BIN/dandelionfork-entry" \
    --settings "$root/examples/entry.ini" --check
expect_exit 0 "$BIN/dandelionfork-agent" \
    --settings "$root/examples/agent.ini" --check
expect_exit 0 "$BIN/dandelionfork-gateway" \
    --settings "$root/examples/gateway.ini" --check
for tables in uspon rodopa; do
    expect_exit 0 "$BIN/dandelionfork" check \
        --routes "$root/examples/$tables/routes.ini" \
        --pools "$root/examples/$tables/pools.ini"
done
# The example settings are valid with their commented lines taken in, too.
for role in entry agent gateway; do
    sed 's/^#\([a-z_]* = \)/\1/' "$root/examples/$role.ini" >"$WORK/full.ini"
    expect_exit 0 "$BIN/dandelionfork-$role" --settings "$WORK/full.ini" \
        --check
done

expect_exit 2 "$BIN/dandelionfork-entry"
expect_output "--settings FILE is missing"
expect_exit 2 "$BIN/dandelionfork-entry" --colour
expect_exit 2 "$BIN/dandelionfork-entry" --settings "$WORK/none.ini"
expect_output "No such file"
cat >"$WORK/bad.ini" <<'END'
[entry]
instance = entry 1
data_centre = split-a
listen = here
widen = 20
idle = 2h
colour = blue
max_candidates = 17
policy = best
[platform]
[extra]
END
expect_exit 2 "$BIN/dandelionfork-entry" --settings "$WORK/bad.ini" --check
f=$WORK/bad.ini
expect_output "$f:2: [entry].instance: \"entry 1\" needs a name of up to 63"
expect_output "$f:4: [entry].listen: \"here\" needs an address: ip:port"
expect_output \
    "$f:5: [entry].widen: \"20\" needs a number with a unit: ms, s, min or h"
expect_output "$f:6: [entry].idle: \"2h\" is out of range (1000 to 3600000)"
expect_output "$f:7: [entry].colour: unknown key"
expect_output "$f:8: [entry].max_candidates: \"17\" is out of range (1 to 16)"
expect_output "$f:9: [entry].policy: \"best\" is none of the possible values"
expect_output "$f:10: [platform].store: is missing"
expect_output "$f:11: [extra]: unknown section"

# In the JSON format each log line is an object.
start_platform
start_plain plain-1 7111
write_agent_settings raspored-1 7211 plain-1 split-a
sed -i 's/level = debug/level = info\nformat = json/' "$WORK/raspored-1.ini"
start raspored-1 "$BIN/dandelionfork-agent" --settings "$WORK/raspored-1.ini"
wait_log raspored-1 '"event":"the endpoint answers"'
grep -qv '^{"time":".*","level":".*","part":".*","event":".*"}$' \
    "$WORK/raspored-1.log" && fail "a log line is not a JSON object"

# A second process with the same address, and a second entry with the same
# instance id.
expect_exit 1 "$BIN/dandelionfork-agent" --settings "$WORK/raspored-1.ini"
expect_output "can't listen"
publish_instances
apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"
start_entry entry-1 7301 split-a
sed 's/:7301/:7302/' "$WORK/entry-1.ini" >"$WORK/second.ini"
start_second_entry() {
    start second "$BIN/dandelionfork-entry" --settings "$WORK/second.ini"
}
start_second_entry
wait_log raspored-1 "two processes use one instance id"
# An agent whose instance id differs from the listed one gets no work.
PORTS[raspored-2]=7211
INSTANCES=$(instance_json raspored-2 split-a passing)
publish_instances
wait_log entry-1 "another instance answers at an address"
fetch -d '{"visit":1}' -D "$WORK/wrong.head" -o /dev/null \
    -H 'X-Time-Limit-Ms: 1000' "http://$IP:7301/raspored/visits"
[ "$(status_of wrong)" != 200 ] ||
    fail "the entry sent work to another instance"
expect "executions at another instance" \
    "$(fetch "http://$IP:7111/control/executions" | json_field total)" 0
