# A worker that writes a refusal of another request on a kept connection: callers
# were told that a request was not run, or it was sent again, while it ran.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
configure '{"name":"twice","host":"a.example","prefix":"/twice/",
    "kind":"unsafe","timeout_ms":60000,"target_latency_ms":200,"priority":1,
    "service":"plain","max_attempts":2,"public":true},'
wait_until version_in_force 1 "$VERSION"
REQUESTS=0
REPEATED=0

# has_run ID
has_run() {
    grep -q "^ran [0-9]* $1 " "$WORK/worker-1.log" "$WORK/worker-2.log"
}

# ask: sends a request that may run once only, and notes its id if the caller
# is told that it was not run.
ask() {
    local status
    REQUESTS=$((REQUESTS + 1))
    status=$(fetch -o /dev/null -w '%{http_code}' -H 'Host: a.example' \
        -H "Attempt-Id: request-$REQUESTS" -H 'Deadline-Ms: 30000' -d body \
        "$GATEWAY/twice/x")
    case $status in
    200 | 502) ;;
    503 | 429 | 421 | 408)
        ! has_run "request-$REQUESTS" ||
            fail "request-$REQUESTS ran, and got $status"
        echo "request-$REQUESTS" >>"$WORK/not-run"
        ;;
    *) fail "request-$REQUESTS got $status" ;;
    esac
}

repeated() {
    echo $(($(worker_stat 1 raw) + $(worker_stat 2 raw)))
}

# refuse_again AT REFUSAL: asks until the workers have written the refusal so
# often that it met requests in progress.
refuse_again() {
    local n
    for n in 1 2; do
        fetch -o /dev/null --data-binary "$2" \
            "http://$IP:740$n/control/raw?when=kept&at=$1"
    done
    REPEATED=$((REPEATED + 4))
    for n in $(seq 1 60); do
        ask
        [ "$(repeated)" -lt "$REPEATED" ] || return 0
    done
    fail "no refusal was written on a kept connection"
}

touch "$WORK/not-run"
lines=$'Not-Executed: 1\r\nRetry-After: 30\r\nServer-Limit: 0.01\r\n'
end=$'Content-Length: 0\r\n\r\n'
for status in '503 Service Unavailable' '421 Misdirected Request' \
    '400 Bad Request' '429 Too Many Requests'; do
    for id in '' $'Attempt-Id: request-0\r\n'; do
        for at in before split after; do
            refuse_again "$at" "HTTP/1.1 $status"$'\r\n'"$lines$id$end"
        done
    done
done

while read -r id; do
    ! has_run "$id" || fail "$id was refused as not run, and ran"
done <"$WORK/not-run"
twice=$(sed -n 's/^ran [0-9]* \(request-[0-9]*\) .*/\1/p' \
    "$WORK/worker-1.log" "$WORK/worker-2.log" | sort | uniq -d)
[ -z "$twice" ] || fail "ran twice: $twice"
# Without an id, only the first response on a connection is known to belong to
# its request.
for n in 1 2; do
    worker_control "$n" raw
done
for n in 1 2 3 4; do
    expect "request $n without an id" "$(fetch -o /dev/null -w '%{http_code}' \
        -H 'Host: a.example' -d body "$GATEWAY/twice/x")" 200
done
# What a refusal of another request says of limits does not hold.
expect "requests that the gateway refused" "$(wc -l <"$WORK/not-run")" 0
