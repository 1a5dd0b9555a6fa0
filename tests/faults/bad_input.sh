# Bad requests get an error of the same JSON form, and neither they nor
# malformed frames stop a process or disturb later requests.
ENTRY_SETTINGS="max_body = 1MiB
body_memory = 1MiB"
ENGINE_ARGUMENTS="--token-us 20000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

# expect_error NAME STATUS CURL_ARGUMENTS...: sends a request and checks the
# status and the form of the error.
expect_error() {
    local name=$1 status=$2
    shift 2
    fetch -D "$WORK/$name.head" -o "$WORK/$name.body" "$@"
    expect "$name" "$(status_of "$name")" "$status"
    grep -q '^{"error":{"code":".*","message":".*","outcome":"not-run"' \
        "$WORK/$name.body" || fail "$name: the error has another form"
}
complete=$ENTRY/v1/completions
prompt 100 >"$WORK/good"
expect_error not-json 400 -d 'nonsense' "$complete"
expect_error no-object 400 -d '[1]' "$complete"
expect_error no-model 400 -d '{"prompt":"x"}' "$complete"
expect_error no-prompt 400 -d '{"model":"savjetnik"}' "$complete"
expect_error bad-prompt 400 -d '{"model":"savjetnik","prompt":{"a":1}}' \
    "$complete"
expect_error bad-stream 400 \
    -d '{"model":"savjetnik","prompt":"x","stream":1}' "$complete"
expect_error bad-max 400 \
    -d '{"model":"savjetnik","prompt":"x","max_tokens":-1}' "$complete"
expect_error unknown-model 404 -d '{"model":"x","prompt":"x"}' "$complete"
expect_error unknown-path 404 "$ENTRY/nothing"
expect_error wrong-method 405 "$complete"
for limit in -1 0 1.5 abc 99999999999 x5 '5 5'; do
    expect_error "limit" 400 -d @"$WORK/good" \
        -H "X-Time-Limit-Ms: $limit" "$complete"
done
expect_error limit-zero 400 -d @"$WORK/good" -H "X-Time-Limit-Ms: 0" \
    "$complete"
expect_error limit-negative 400 -d @"$WORK/good" -H "X-Time-Limit-Ms: -5" \
    "$complete"
expect_error limit-absurd 400 -d @"$WORK/good" -H "X-Time-Limit-Ms: 86400001" \
    "$complete"
expect_error long-account 400 -d @"$WORK/good" \
    -H "X-Account: $(head -c 64 /dev/zero | tr '\0' a)" "$complete"
expect_error long-path 414 \
    "$ENTRY/raspored/$(head -c 1100 /dev/zero | tr '\0' a)"
expect_error long-key 400 -d '{}' \
    -H "Idempotency-Key: $(head -c 256 /dev/zero | tr '\0' a)" \
    "$ENTRY/raspored/visits"
prompt 1100000 >"$WORK/large"
expect_error large-body 413 -d @"$WORK/large" "$complete"
expect_error large-chunked 413 -H 'Transfer-Encoding: chunked' \
    -d @"$WORK/large" "$complete"
fetch -o /dev/null -D "$WORK/headers.head" \
    -H "X-Long: $(head -c 60000 /dev/zero | tr '\0' a)" "$ENTRY/healthz"
expect "headers above the limit" "$(status_of headers)" 431

# Without memory for another body the entry refuses it at once with a
# Retry-After. It accepts the body once memory is free.
prompt 600000 1000 true >"$WORK/half"
start_request first -d @"$WORK/half" "$complete"
wait_until engines_hold_something
expect_error full 503 -d @"$WORK/half" "$complete"
[ -n "$(header_of full Retry-After)" ] ||
    fail "the refusal for lack of memory has no Retry-After"
kill_and_reap first
wait_until engines_are_empty
prompt 600000 1 >"$WORK/half"
half_is_accepted() {
    fetch -d @"$WORK/half" -D "$WORK/accepted.head" -o /dev/null "$complete" &&
        [ "$(status_of accepted)" = 200 ]
}
wait_until half_is_accepted

# Malformed frames on an agent's port: a stream of 0xff bytes, a truncated
# frame, a frame of two gigabytes, a hello of another version, a frame before
# the hello, and an array whose header claims 4294967295 elements.
# send_to_agent BYTES: as escapes of printf.
send_to_agent() {
    timeout 60 bash -c "exec 3<>/dev/tcp/$IP/7201; printf '$1' >&3
        cat <&3 >/dev/null" || true
}
head -c 4096 /dev/zero | tr '\0' '\377' >"$WORK/junk"
send_to_agent "$(head -c 64 "$WORK/junk" | od -An -tx1 | tr -d '\n' |
    sed 's/ /\\x/g')"
send_to_agent '\x00\x00\x00\x40\x96\x01'
send_to_agent '\x7f\xff\xff\xff\x96\x01'
send_to_agent \
    '\x00\x00\x00\x0f\x96\x01\xce\x00\x00\x00\x63\xa1a\xcf\x00\x00\x00\x00'
send_to_agent '\x00\x00\x00\x02\x91\x0e'
send_to_agent '\x00\x00\x00\x07\x92\x02\xdd\xff\xff\xff\xff'

fetch -d @"$WORK/good" -D "$WORK/after.head" -o /dev/null "$complete"
expect "a good request afterwards" "$(status_of after)" 200
for name in entry-1 savjetnik-1; do
    signal TERM "$name"
    reap "$name" || fail "$name ended with status $?"
done
