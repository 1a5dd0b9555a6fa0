# Guards against a plain call that ends every service it is sent to: the entries
# send it to a few services, then refuse it, and serve others as before.
. "$(dirname "$0")/lib/fleet.sh"
start_fleet
ENDED=0

service_serves() {
    curl -sf -o /dev/null "http://$IP:711$1/health"
}
# Counts the services that have ended, and starts them again.
restart_ended() {
    local n
    for n in 1 2; do
        if ! service_serves "$n"; then
            ENDED=$((ENDED + 1))
            reap "plain-$n" || true
            start_plain "plain-$n" "711$n"
        fi
    done
}

# call ENTRY_URL TARGET [CURL_ARGUMENTS]: sends a call and prints the status.
call() {
    fetch -H 'X-Time-Limit-Ms: 3000' -o "$WORK/body" -D "$WORK/call.head" \
        -w '%{http_code}' "${@:3}" "$1/raspored/$2" || true
}

is_served() {
    [ "$(call "$1" appointments/1)" = 200 ]
}

# expect_few_ends TARGET [CURL_ARGUMENTS]: sends the call 12 times. The rule:
# after it has ended three services, three more get it.
expect_few_ends() {
    local n url before=$ENDED
    for n in $(seq 1 6); do
        for url in "$ENTRY" "$ENTRY2"; do
            call "$url" "$@" >"$WORK/status"
            restart_ended
            wait_until is_served "$url"
        done
    done
    [ $((ENDED - before)) -le 6 ] ||
        fail "12 times $1 ended $((ENDED - before)) services, not 6 at most"
    for url in "$ENTRY" "$ENTRY2"; do
        expect "$1" "$(call "$url" "$@")" 503
        expect "its outcome" "$(header_of call X-Dandelionfork-Outcome)" not-run
        grep -qi '^Retry-After: ' "$WORK/call.head" ||
            fail "the refusal has no Retry-After"
    done
}

expect_few_ends 'appointments/1?crash=1'
# A call that must run once, and the same with another body.
expect_few_ends 'visits?crash=1' -d '{"visit":1}'
expect "another body" \
    "$(call "$ENTRY" 'visits?crash=1' -d '{"visit":2}')" 502
restart_ended
