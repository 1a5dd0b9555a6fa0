# Guards against an entry that its supervisor kills at the end of the grace
# while requests are in progress: they would get no answer, among them some that
# came in the grace and could not end in it.
ENTRY_SETTINGS="drain_grace = 6s
grace = 12s"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

ask() {
    start_request "$1" -d "{\"visit\":\"$1\"}" "${@:3}" \
        "$ENTRY/raspored/$2"
}

# answered NAME STATUS OUTCOME: the answer is complete.
answered() {
    reap "$1" || fail "$1 got no complete answer: curl status $?"
    expect "status of $1" "$(status_of "$1")" "$2"
    expect "outcome of $1" "$(header_of "$1" X-Dandelionfork-Outcome)" "$3"
}

ran_count_is() {
    [ "$(executions total)" = "$1" ]
}

ask before 'visits?delay=18000'
wait_until ran_count_is 1
signal TERM entry-1
wait_log entry-1 draining
ask late 'visits?delay=18000'
answered late 503 not-run
ask short visits -H 'X-Time-Limit-Ms: 2000'
answered short 200 ran
# It may be repeated, and nothing tells how long it takes.
ask repeated 'appointments?delay=4000'
answered repeated 200 ran
answered before 504 unknown
reap entry-1 || fail "the entry ended with status $?"
expect "executions, without the refused one" "$(executions total)" 3
