# Workers that send bytes which are no valid response: callers got them as a
# response, or with a body that was not the worker's.
. "$(dirname "$0")/lib/gateways.sh"
UPLOAD_BYTES=33554432
MAX_BODY=$UPLOAD_BYTES
start_deployment
nl=$'\r\n'
signed="Attempt-Id: @${nl}Response-Signature: signed$nl"

# answer_with BYTES: what all workers answer to requests with Last-Event-Id,
# before they close.
answer_with() {
    local n
    for n in 1 2 3 4; do
        fetch -o /dev/null --data-binary "$1" \
            "http://$IP:740$n/control/raw?when=resumed"
    done
}

# ask PATH: prints the status that the caller gets.
ask() {
    call "$GATEWAY" "$1" -H 'Credential: key-1' -H 'Last-Event-Id: 1' \
        -H 'Token-Usage: 1000,40' -d body || echo broken
}

# expect_failure WHAT BYTES: callers get a failure of the gateway's own, by
# each kind of route.
expect_failure() {
    local path
    answer_with "$2"
    for path in /once/x /plain/x /stream/x; do
        expect "$1, $path" "$(ask "$path")" 502
        ! grep -qi 'response-signature' "$WORK/call.head" ||
            fail "$1, $path: $(cat "$WORK/call.head")"
    done
}

# expect_success WHAT BYTES: callers get the worker's response.
expect_success() {
    answer_with "$2"
    expect "$1" "$(ask /once/x)" 200
    expect "body, $1" "$(cat "$WORK/body")" abc
}

body="Content-Length: 3$nl${nl}abc"
for status in 000 007 099 101 600 999; do
    expect_failure "status $status" "HTTP/1.1 $status S$nl$signed$body"
done
for line in 'A b: c' 'A : b' ' A: b' $'A\x01b: c' $'A\tb: c' $'\rA: b' $'\nA: b' \
    "Content Length: 3" "Content-Length : 3" "Transfer-Encoding : chunked"; do
    printf -v shown '%q' "$line"
    expect_failure "header $shown" "HTTP/1.1 200 OK$nl$signed$line$nl$body"
    expect_failure "first header $shown" "HTTP/1.1 200 OK$nl$line$nl$signed$body"
done
chunks="3${nl}abc${nl}0$nl$nl"
for coding in gzip 'gzip, chunked' 'chunked, gzip'; do
    expect_failure "transfer coding $coding" \
        "HTTP/1.1 200 OK$nl${signed}Transfer-Encoding: $coding$nl$nl$chunks"
done
chunked="HTTP/1.1 200 OK$nl${signed}Transfer-Encoding: chunked$nl$nl"
for broken in "3${nl}abcXX0$nl$nl" $'3\rXabc\r\n0\r\n\r\n' \
    "3${nl}abc${nl}0${nl}A b: c$nl$nl"; do
    expect_failure "chunks ${broken@Q}" "$chunked$broken"
done
expect_success "valid chunks" "$chunked$chunks"
expect_success "a valid response" "HTTP/1.1 200 OK$nl$signed$body"

# A response without a length to a long request, reset while that is written.
for n in 1 2; do
    kill_and_reap "worker-$n"
    store_control "remove?key=servers/worker-$n"
done
start reset "$BIN/tests/fake_endless" --ip "$IP" --port 7405 --mode 12
wait_log reset "ready reset"
store_control "put?key=servers/worker-9" -d "{\"service\":\"plain\",
    \"address\":\"$IP:7405\",\"zone\":\"here\",\"version\":\"v1\",
    \"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}"
wait_log gateway-1 "endpoint=worker-9 state=ready"
head -c "$UPLOAD_BYTES" /dev/zero >"$WORK/upload"
expect "a response that is reset during the upload" \
    "$(call "$GATEWAY" /once/x --data-binary "@$WORK/upload")" 502
wait_log reset "ended reset"
expect "starts of the gateway" \
    "$(grep -c 'gateway: started' "$WORK/gateway-1.log")" 1
