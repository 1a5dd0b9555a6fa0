# Which requests a gateway retries and which it does not: failed safe and
# unsafe ones, refusals by another instance, and streams that end early.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
key=(-H 'Credential: key-1')

run_count() {
    echo $(($(worker_stat 1 runs) + $(worker_stat 2 runs)))
}

# When a safe request fails at one worker, the other one responds to it.
worker_control 1 'fail?on=1'
for n in 1 2 3 4; do
    expect "safe request $n" "$(call "$GATEWAY" "/plain/$n" "${key[@]}")" 200
done
worker_control 1 'fail?on=0'

# An unsafe request runs once, and the caller gets the worker's failure.
worker_control 1 'fail?on=1'
worker_control 2 'fail?on=1'
before=$(run_count)
expect "a failed unsafe request" "$(call "$GATEWAY" /once/x -d y)" 500
expect "runs of the unsafe request" "$(run_count)" $((before + 1))
worker_control 1 'fail?on=0'
worker_control 2 'fail?on=0'

# A worker that ran it and answers with a status that callers take for "not run"
# does not say so: the gateway passes on no such status.
for status in 408 429 503; do
    printf -v answer 'HTTP/1.1 %s S\r\nAttempt-Id: @\r\n%s\r\n' "$status" \
        $'Content-Length: 0\r\n'
    for n in 1 2; do
        fetch -o /dev/null --data-binary "$answer" \
            "http://$IP:740$n/control/raw?when=resumed"
    done
    expect "an unsafe request that ran, answered $status" \
        "$(call "$GATEWAY" /once/x -d y -H 'Last-Event-Id: 1')" 502
done
for n in 1 2; do
    worker_control "$n" raw
done

# Another instance responds at the worker's address and does not run the
# request. The route allows one attempt, so the gateway responds that it was
# not run.
worker_control 1 'id?is=8'
worker_control 2 'id?is=9'
before=$(run_count)
expect "a request to another instance" "$(call "$GATEWAY2" /once/x -d y)" 503
expect "runs at the other instance" "$(run_count)" "$before"
worker_control 1 'id?is=1'
worker_control 2 'id?is=2'

# When a worker ends a stream in the middle of an event, the gateway resumes it
# at the other worker after the last whole event, within the same response.
# When the other worker ends it too, the response ends without its terminating
# chunk.
worker_control 3 'cut?after=3'
worker_control 4 'cut?after=3'
call "$GATEWAY" /stream/x -d prompt -H 'Token-Usage: 1000,400' \
    >"$WORK/status" || true
expect "events before the second end" \
    "$(grep -c '^data: event' "$WORK/body")" 3
expect "whole events before the second end" "$(grep -c '^$' "$WORK/body")" 3
worker_control 4 'cut?after=0'
# So it does when the connection to the worker breaks there.
for n in 1 2 3 4 5 6; do
    [ "$n" -lt 4 ] || worker_control 3 'cut?after=3&break=1'
    if call "$GATEWAY" /stream/x -d prompt -H 'Token-Usage: 1000,400' \
        >"$WORK/status"; then
        expect "events of the resumed stream" \
            "$(grep -c '^data: event' "$WORK/body")" 12
    else
        fail "the gateway did not resume stream $n"
    fi
done
expect "distinct event ids" "$(sed -n 's/^id: //p' "$WORK/body" |
    sort -n -u | wc -l)" 12

# A stream without a length, chunks or any event has ended with its worker.
worker_control 3 'cut?after=0'
worker_control 3 'empty?on=1'
before=$(worker_stat 3 runs)
reaches_worker_3() {
    expect "a stream that one worker ends at once" \
        "$(call "$GATEWAY" /stream/x -d prompt -H 'Token-Usage: 1000,400')" 200
    expect "events of the stream" "$(grep -c '^data: event' "$WORK/body")" 12
    [ "$(worker_stat 3 runs)" -gt "$before" ]
}
wait_until reaches_worker_3

# A request whose endpoints can't be reached counts as not run.
kill_and_reap worker-1
kill_and_reap worker-2
expect "a request without a reachable worker" \
    "$(call "$GATEWAY" /once/x -d y)" 503
wait_log gateway-1 'attempt ended id=.* why="no connection"'
