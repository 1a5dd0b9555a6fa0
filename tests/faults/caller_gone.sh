# A caller disconnects before the first token or in the middle of the stream,
# or stops reading. Its work must end and free the engine's memory.
ENGINE_ARGUMENTS="--token-us 1000"
AGENT_SETTINGS="lease = 500ms"
. "$(dirname "$0")/lib/fleet.sh"
start_fleet

prompt 400000 10 true >"$WORK/long"
start_request early -d @"$WORK/long" "$ENTRY/v1/completions"
wait_until engines_hold_something
kill_and_reap early
wait_until engines_are_empty

prompt 2000 100000 true >"$WORK/prompt"
start_request middle -d @"$WORK/prompt" "$ENTRY/v1/completions"
wait_until has_body middle
kill_and_reap middle
wait_until engines_are_empty

# A caller sends its request and never reads: the time limit ends its work.
start reader bash -c "exec 3<>/dev/tcp/$IP/7301
    printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n' >&3
    printf 'X-Time-Limit-Ms: 2000\r\nContent-Length: %d\r\n\r\n' \
        $(wc -c <"$WORK/prompt") >&3
    cat '$WORK/prompt' >&3
    exec sleep 1000"
wait_until engines_hold_something
wait_until engines_are_empty
kill_and_reap reader
gone=$(metric entry-1 dandelionfork_callers_gone_total)
[ "$gone" -ge 2 ] ||
    fail "the entry counted $gone disconnected callers instead of 2 or more"
expect "requests waiting at the entry" \
    "$(metric entry-1 dandelionfork_waiting)" 0
