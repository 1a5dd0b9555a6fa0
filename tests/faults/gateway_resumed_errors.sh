# A stream that broke off and whose next worker answers with anything but the
# next events: callers got an error's text or head within their stream, missed
# events, or saw the stream end as if it were complete.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment

# resume_with BYTES: the workers break streams off in the middle of the fourth
# event, and answer the request for the rest with the bytes.
resume_with() {
    local n
    for n in 3 4; do
        worker_control "$n" 'cut?after=3&break=1'
        fetch -o /dev/null --data-binary "$1" \
            "http://$IP:740$n/control/raw?when=resumed"
    done
}

resumed() {
    echo $(($(worker_stat 3 raw) + $(worker_stat 4 raw)))
}

# stream: asks for streams until a worker was asked for the rest of one. Leaves
# curl's exit status of that one in RESULT, and its body without the request's
# id in $WORK/events.
stream() {
    local n before
    before=$(resumed)
    for n in $(seq 1 50); do
        RESULT=0
        fetch -o "$WORK/body" -w '%{http_code}' -H 'Host: a.example' \
            -H "Attempt-Id: stream-$n" -H 'Deadline-Ms: 30000' \
            -H 'Token-Usage: 1000,400' -d prompt "$GATEWAY/stream/x" \
            >"$WORK/status" || RESULT=$?
        if [ "$(resumed)" -gt "$before" ]; then
            sed "s/ of stream-$n\$//" "$WORK/body" >"$WORK/events"
            return 0
        fi
    done
    fail "no stream was resumed"
}

# make_answer FRAMING BODY STATUS HEADERS: leaves a response in ANSWER. FRAMING
# is length, chunks or close.
make_answer() {
    local framing
    case $1 in
    length) printf -v framing 'Content-Length: %s\r\n\r\n%s' "${#2}" "$2" ;;
    chunks)
        framing=$'Transfer-Encoding: chunked\r\n\r\n'
        [ -z "$2" ] || printf -v framing '%s%x\r\n%s\r\n' "$framing" "${#2}" "$2"
        framing+=$'0\r\n\r\n'
        ;;
    close) framing=$'\r\n'$2 ;;
    esac
    printf -v ANSWER 'HTTP/1.1 %s\r\nAttempt-Id: @\r\n%s%s' "$3" "$4" "$framing"
}

# expect_cut NAME BODY [STATUS [HEADERS]]: with such an answer in each framing,
# the caller gets the events before the break and nothing else, and sees that
# the response is not complete.
expect_cut() {
    local framing
    for framing in length chunks close; do
        make_answer "$framing" "$2" "${3:-200 OK}" "${4:-$type}"
        resume_with "$ANSWER"
        stream
        cmp -s "$WORK/events" "$WORK/three" ||
            fail "$1, $framing: the caller got $(tr '\n\r' '|_' <"$WORK/events")"
        [ "$RESULT" != 0 ] ||
            fail "$1, $framing: the response looks complete"
    done
}

for n in 1 2 3; do
    printf 'id: %s\ndata: event %s\n\n' "$n" "$n"
done >"$WORK/three"
type=$'Content-Type: text/event-stream\r\n'
event4=$'id: 4\ndata: event 4\n\n'
error=$'HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nerror\r\n\r\n'
refusal=$'Not-Executed: 1\r\nRetry-After: 0.01\r\n'

expect_cut 'no events' ''
expect_cut 'a comment only' $': note\n\n'
expect_cut 'another type' '{"error":"x"}' '200 OK' \
    $'Content-Type: application/json\r\n'
for status in '206 Partial Content' '302 Found' '404 Not Found' \
    '429 Too Many Requests' '500 Error' '503 Service Unavailable'; do
    expect_cut "$status" "$event4" "$status"
done
expect_cut refusal "$event4" '503 Service Unavailable' "$refusal$type"
expect_cut misdirected "$event4" '421 Misdirected Request'
expect_cut encoded "$event4" '200 OK' $'Content-Encoding: gzip\r\n'"$type"
expect_cut repeated $'id: 3\ndata: event 3\n\n'"$event4"
expect_cut skipped $'id: 5\ndata: event 5\n\n'
expect_cut 'from the beginning' $'id: 1\ndata: event 1\n\n'
expect_cut 'an error as an event' $'data: error\n\n'
expect_cut 'an error before the events' $'data: error\n\n'"$event4"
expect_cut 'a head within the events' "$error"
expect_cut 'a head before the events' "$error$event4"

# A response of another kind that breaks off can't go on elsewhere, so that no
# other worker is asked.
make_answer length "$(printf '%0400000d' 0)" '200 OK' ''
for n in 1 2; do
    printf '%s' "${ANSWER:0:300000}" | fetch -o /dev/null --data-binary @- \
        "http://$IP:740$n/control/raw?when=resumed"
done
! call "$GATEWAY" /plain/x -H 'Credential: key-1' -H 'Last-Event-Id: 1' \
    >"$WORK/status" || fail "the response that broke off looks complete"
expect "runs of the response that broke off" \
    $(($(worker_stat 1 runs) + $(worker_stat 2 runs))) 1

# The next event completes the stream; what precedes it is left out.
for framing in length chunks close; do
    make_answer "$framing" $': note\n\n'"$event4" '200 OK' "$type"
    resume_with "$ANSWER"
    stream
    expect "the end of a stream that goes on, $framing" "$RESULT" 0
    printf '%s' "$event4" | cat "$WORK/three" - |
        cmp - "$WORK/events" || fail "$framing: the next event is missing"
done
