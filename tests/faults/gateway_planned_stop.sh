# Guards against a planned stop that cuts off requests without an answer: those
# in progress at the end of the grace, and those that came within it and could
# not end in time, such as requests that must not run twice.
CLOSE=6s
GRACE=12s
. "$(dirname "$0")/lib/gateways.sh"
start_deployment

# runs: of all plain workers.
runs() {
    echo $(($(worker_stat 1 runs) + $(worker_stat 2 runs)))
}

runs_are() {
    [ "$(runs)" = "$1" ]
}

# ask NAME PATH [CURL_ARGUMENTS]: in the background. DEADLINE_MS may replace the
# caller's time, which is longer than the grace.
ask() {
    start_request "$1" -H 'Host: a.example' -H "Attempt-Id: $1" \
        -H "Deadline-Ms: ${DEADLINE_MS:-60000}" "${@:3}" "$GATEWAY$2"
}

# answered NAME STATUS: the answer is complete, and the connection closes.
answered() {
    reap "$1" || fail "$1 got no complete answer: curl status $?"
    expect "status of $1" "$(status_of "$1")" "$2"
    expect "end of the connection of $1" "$(header_of "$1" Connection)" close
}

ask before '/once/x?ms=60000' -d booking
wait_until runs_are 1
ask stream '/stream/x?events=60000' -H 'Token-Usage: 1000,400' -d prompt
wait_until has_body stream
# Its body is not complete when the process ends.
exec 5<>"/dev/tcp/$IP/7501"
printf 'POST /once/y HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: half\r\n' >&5
printf 'Content-Length: 100\r\n\r\nhalf of the body' >&5

signal TERM gateway-1
wait_log gateway-1 'draining signal=15'
ask late '/once/x?ms=60000' -d booking
answered late 503
grep -qi '^Retry-After' "$WORK/late.head" &&
    fail "a caller is kept from another gateway"
DEADLINE_MS=2000 ask short '/once/x' -d booking
answered short 200
ask repeatable '/quick/x'
answered repeatable 200
# Whether it ends in time is not known; its caller may send it again.
ask repeated '/plain/x?ms=60000' -H 'Credential: key-1'
wait_until runs_are 4

answered before 504
answered repeated 504
reap stream && fail "a stream that was cut off looks complete"
cat <&5 >"$WORK/half.head"
exec 5>&-
expect "status of the incomplete request" "$(status_of half)" 503
reap gateway-1 || fail "gateway-1 ended with status $?"
expect "runs, without those that were refused" "$(runs)" 4
wait_log gateway-1 'gateway: ended requests=0'
