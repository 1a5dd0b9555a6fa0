# Bad requests and hostile frames: a clear error in one form each, nothing
# lost, no process stops.
ENTRY_SETTINGS="max_body = 1MiB
body_memory = 1MiB"
ENGINE_ARGUMENTS="--token-us 20000"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

# bad NAME STATUS CURL_ARGUMENTS...
bad() {
    local name=$1 status=$2
    shift 2
    get -D "$WORK/$name.head" -o "$WORK/$name.body" "$@"
    expect "$name" "$(status_of "$name")" "$status"
    grep -q '^{"error":{"code":".*","message":".*","outcome":"not-run"' \
        "$WORK/$name.body" || fail "$name: another form of error"
}
complete=$ENTRY/v1/completions
prompt 100 >"$WORK/good"
bad not-json 400 -d 'nonsense' "$complete"
bad no-object 400 -d '[1]' "$complete"
bad no-model 400 -d '{"prompt":"x"}' "$complete"
bad no-prompt 400 -d '{"model":"savjetnik"}' "$complete"
bad bad-prompt 400 -d '{"model":"savjetnik","prompt":{"a":1}}' "$complete"
bad bad-stream 400 -d '{"model":"savjetnik","prompt":"x","stream":1}' \
    "$complete"
bad bad-max 400 -d '{"model":"savjetnik","prompt":"x","max_tokens":-1}' \
    "$complete"
bad unknown-model 404 -d '{"model":"x","prompt":"x"}' "$complete"
bad unknown-path 404 "$ENTRY/nothing"
bad wrong-method 405 "$complete"
for limit in -1 0 1.5 abc 99999999999 ''; do
    [ -n "$limit" ] || limit=' 5'
    bad "limit" 400 -d @"$WORK/good" -H "X-Time-Limit-Ms: x$limit" "$complete"
done
bad limit-zero 400 -d @"$WORK/good" -H "X-Time-Limit-Ms: 0" "$complete"
bad limit-negative 400 -d @"$WORK/good" -H "X-Time-Limit-Ms: -5" "$complete"
bad limit-absurd 400 -d @"$WORK/good" -H "X-Time-Limit-Ms: 86400001" \
    "$complete"
bad long-account 400 -d @"$WORK/good" \
    -H "X-Account: $(head -c 64 /dev/zero | tr '\0' a)" "$complete"
bad long-path 414 "$ENTRY/raspored/$(head -c 1100 /dev/zero | tr '\0' a)"
bad long-key 400 -d '{}' \
    -H "Idempotency-Key: $(head -c 256 /dev/zero | tr '\0' a)" \
    "$ENTRY/raspored/visits"
prompt 1100000 >"$WORK/large"
bad large-body 413 -d @"$WORK/large" "$complete"
bad large-chunked 413 -H 'Transfer-Encoding: chunked' -d @"$WORK/large" \
    "$complete"
get -o /dev/null -D "$WORK/headers.head" \
    -H "X-Long: $(head -c 60000 /dev/zero | tr '\0' a)" "$ENTRY/healthz"
expect "over-long headers" "$(status_of headers)" 431

# No memory for another body: refused at once with a time to come back, and taken
# again when there is.
prompt 600000 1000 true >"$WORK/half"
request first -d @"$WORK/half" "$complete"
wait_until engines_hold_something
bad full 503 -d @"$WORK/half" "$complete"
[ -n "$(header_of full Retry-After)" ] || fail "full, but no Retry-After"
kill_hard first
wait_until engines_are_empty
prompt 600000 1 >"$WORK/half"
taken() {
    get -d @"$WORK/half" -D "$WORK/taken.head" -o /dev/null "$complete" &&
        [ "$(status_of taken)" = 200 ]
}
wait_until taken

# Hostile frames on an agent's port: a random stream, a truncated frame, a
# frame of two gigabytes, a greeting of another version, a frame before it.
hostile() {
    timeout 60 bash -c "exec 3<>/dev/tcp/$IP/7201; printf '$1' >&3
        cat <&3 >/dev/null" || true
}
head -c 4096 /dev/zero | tr '\0' '\377' >"$WORK/junk"
hostile "$(head -c 64 "$WORK/junk" | od -An -tx1 | tr -d '\n' |
    sed 's/ /\\x/g')"
hostile '\x00\x00\x00\x40\x96\x01'
hostile '\x7f\xff\xff\xff\x96\x01'
hostile '\x00\x00\x00\x0f\x96\x01\xce\x00\x00\x00\x63\xa1a\xcf\x00\x00\x00\x00'
hostile '\x00\x00\x00\x02\x91\x0e'
hostile '\x00\x00\x00\x07\x92\x02\xdd\xff\xff\xff\xff'

get -d @"$WORK/good" -D "$WORK/after.head" -o /dev/null "$complete"
expect "afterwards" "$(status_of after)" 200
for name in entry-1 savjetnik-1; do
    signal TERM "$name"
    reap "$name" || fail "$name ended with status $?"
done
