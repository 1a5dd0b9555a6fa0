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

# call ENTRY_URL TARGET: sends a call and prints the status.
call() {
    fetch -H 'X-Time-Limit-Ms: 3000' -o "$WORK/body" -D "$WORK/call.head" \
        -w '%{http_code}' "$1/raspored/appointments/$2" || true
}

is_served() {
    [ "$(call "$1" 1)" = 200 ]
}

# The rule: after a request has ended three services, three more get it.
for n in $(seq 1 6); do
    for url in "$ENTRY" "$ENTRY2"; do
        call "$url" '1?crash=1' >"$WORK/status"
        restart_ended
        wait_until is_served "$url"
    done
done
[ "$ENDED" -le 6 ] || fail "12 calls ended $ENDED services, not 6 at most"
for url in "$ENTRY" "$ENTRY2"; do
    expect "the call" "$(call "$url" '1?crash=1')" 503
    expect "its outcome" "$(header_of call X-Dandelionfork-Outcome)" not-run
    grep -qi '^Retry-After: ' "$WORK/call.head" ||
        fail "the refusal has no Retry-After"
done
