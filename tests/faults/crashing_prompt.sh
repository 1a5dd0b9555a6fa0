# Guards against a prompt that ends every engine it is sent to: an entry sends it
# to a few engines, then refuses prompts that begin like it, and serves others
# as before.
ENGINE_ARGUMENTS="--crash-byte 122"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet
ENDED=0

engine_serves() {
    curl -sf -o /dev/null "http://$IP:710$1/health"
}
# Counts the engines that have ended, and starts them again.
restart_ended() {
    local n
    for n in 1 2; do
        if ! engine_serves "$n"; then
            ENDED=$((ENDED + 1))
            reap "engine-$n" || true
            # shellcheck disable=SC2086
            start_engine "engine-$n" "710$n" $ENGINE_ARGUMENTS
        fi
    done
}

# ask BYTES STREAM LETTER: sends a prompt and prints the status.
ask() {
    prompt "$1" 4 "$2" "$3" >"$WORK/prompt"
    fetch -d @"$WORK/prompt" -H 'X-Time-Limit-Ms: 3000' -o "$WORK/body" \
        -D "$WORK/ask.head" -w '%{http_code}' "$ENTRY/v1/completions" || true
}

# is_served BYTES LETTER
is_served() {
    [ "$(ask "$1" true "$2")" = 200 ]
}

# No two prompts are alike, but they begin alike. The rule allows three more
# ends after five.
for n in $(seq 1 8); do
    ask $((3000 + n * 1000)) true z >"$WORK/status"
    restart_ended
    wait_until is_served $((3000 + n * 1000)) y
done
[ "$ENDED" -le 8 ] || fail "8 prompts ended $ENDED engines, not 8 at most"
expect "a prompt that begins alike" "$(ask 20000 false z)" 503
expect "its outcome" "$(header_of ask X-Dandelionfork-Outcome)" not-run
grep -qi '^Retry-After: ' "$WORK/ask.head" ||
    fail "the refusal has no Retry-After"

# One prompt that is too short to begin like others. The rule allows three more
# ends after three.
before=$ENDED
for n in $(seq 1 8); do
    ask 300 true z >"$WORK/status"
    restart_ended
    wait_until is_served 300 y
done
[ $((ENDED - before)) -le 6 ] ||
    fail "8 times a short prompt ended $((ENDED - before)) engines, not 6 at most"
expect "the short prompt" "$(ask 300 true z)" 503
