# Responses on one connection: bytes after the answer to a HEAD, or to a status
# without a body, were taken for the beginning of the next response; such an
# answer with a Content-Length had no end.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment

# answer_with STATUS_AND_HEADERS BODY: what the workers answer to requests with
# Last-Event-Id.
answer_with() {
    local n
    printf -v ANSWER 'HTTP/1.1 %s\r\nAttempt-Id: @\r\n\r\n%s' "$1" "$2"
    for n in 1 2 3 4; do
        fetch -o /dev/null --data-binary "$ANSWER" \
            "http://$IP:740$n/control/raw?when=resumed"
    done
}

# ask METHOD PATH: sends the request, and another one on the same connection.
# Leaves the first response's head in HEAD, in lower case, and the bytes between
# it and the second response in BETWEEN.
ask() {
    local all rest
    exec {socket}<>"/dev/tcp/$IP/7501"
    printf '%s %s HTTP/1.1\r\nHost: a.example\r\n%s%s%s\r\n' "$1" "$2" \
        $'Attempt-Id: first\r\nLast-Event-Id: 1\r\nDeadline-Ms: 3000\r\n' \
        $'Credential: key-1\r\n' $'Token-Usage: 1000,40\r\n' >&"$socket"
    printf 'GET /plain/second HTTP/1.1\r\nHost: a.example\r\n%s\r\n' \
        $'Attempt-Id: second\r\nCredential: key-1\r\nConnection: close\r\n' \
        >&"$socket"
    all=$(cat <&"$socket")
    exec {socket}>&-
    HEAD=${all%%$'\r\n\r\n'*}
    HEAD=${HEAD,,}
    rest=${all#*$'\r\n\r\n'}
    [[ $rest == *'HTTP/1.1 200 OK'*'/plain/second'* ]] ||
        fail "$1 $2: no second response in: $all"
    BETWEEN=${rest%%HTTP/1.1 200 OK*}
}

# expect_empty METHOD PATH STATUS [LENGTH]: the response has no body, and names
# this Content-Length.
expect_empty() {
    ask "$1" "$2"
    [[ $HEAD == "http/1.1 $3 "* ]] || fail "$1 $2, not $3: $HEAD"
    expect "bytes after $1 $2, $3" "$BETWEEN" ""
    expect "Content-Length of $1 $2, $3" \
        "$(sed -n 's/^content-length: \([0-9]*\).*/\1/p' <<<"$HEAD")" "${4:-}"
}

nl=$'\r\n'
events="Content-Type: text/event-stream"
for path in /plain/x /stream/x; do
    for status in 200 404; do
        answer_with "$status S${nl}Content-Length: 24" ''
        expect_empty HEAD "$path" "$status" 24
        answer_with "$status S${nl}$events" ''
        expect_empty HEAD "$path" "$status"
        answer_with "$status S${nl}${events}${nl}Transfer-Encoding: chunked" ''
        expect_empty HEAD "$path" "$status"
    done
    for method in GET HEAD POST OPTIONS; do
        answer_with "304 S${nl}Content-Length: 24" ''
        expect_empty "$method" "$path" 304 24
        answer_with "304 S${nl}Transfer-Encoding: chunked" ''
        expect_empty "$method" "$path" 304
        answer_with "204 S${nl}Content-Length: 24" ''
        expect_empty "$method" "$path" 204
        answer_with "204 S" ''
        expect_empty "$method" "$path" 204
    done
    answer_with "205 S${nl}Content-Length: 3" abc
    expect_empty GET "$path" 205 0
    answer_with "200 S${nl}Content-Length: 3" abc
    ask GET "$path"
    expect "the body of GET $path" "$BETWEEN" abc
done
# Informational responses end with their heads, whatever these say of a body.
answer_with "103 S${nl}Content-Length: 9${nl}${nl}HTTP/1.1 200 OK${nl}Content-Length: 3" abc
ask GET /plain/x
expect "the body after an informational response" "$BETWEEN" abc
