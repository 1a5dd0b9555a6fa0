# A gateway handles signals that arrive before it has read its settings only
# afterwards: SIGHUP does not end it, and SIGTERM makes it drain.
. "$(dirname "$0")/lib/gateways.sh"
start_store
configure ""
write_gateway_settings 1

# start_without_settings: starts a gateway that blocks in reading its settings
# from a FIFO. supply_settings replaces the FIFO by a regular file, which the
# gateway reads after SIGHUP, and then writes the settings to the FIFO.
start_without_settings() {
    rm -f "$WORK/settings"
    mkfifo "$WORK/settings"
    start gateway-1 "$BIN/dandelionfork-gateway" --settings "$WORK/settings"
    exec 3>"$WORK/settings"
}

supply_settings() {
    cp "$WORK/gateway-1.ini" "$WORK/settings.file"
    mv "$WORK/settings.file" "$WORK/settings"
    cat "$WORK/gateway-1.ini" >&3
    exec 3>&-
}

start_without_settings
signal HUP gateway-1
supply_settings
wait_log gateway-1 'settings read again'
kill_and_reap gateway-1

start_without_settings
signal TERM gateway-1
supply_settings
wait_log gateway-1 'draining signal=15'
wait_log gateway-1 'gateway: ended'

# The second start has kept the log of the first.
expect "starts in the log" \
    "$(grep -c 'gateway: started' "$WORK/gateway-1.log")" 2
