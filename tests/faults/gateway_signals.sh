# Signals that come before a gateway has read its settings wait for it: a
# hangup doesn't end it, and one that is told to end does so in order.
. "$(dirname "$0")/lib/gateways.sh"
start_store
configure ""
gateway_settings 1

# start_slowly: the gateway waits for its settings, which are a file again by
# the time that it reads them anew.
start_slowly() {
    rm -f "$WORK/settings"
    mkfifo "$WORK/settings"
    start gateway-1 "$BIN/dandelionfork-gateway" --settings "$WORK/settings"
    exec 3>"$WORK/settings"
}

give_settings() {
    cp "$WORK/gateway-1.ini" "$WORK/settings.file"
    mv "$WORK/settings.file" "$WORK/settings"
    cat "$WORK/gateway-1.ini" >&3
    exec 3>&-
}

start_slowly
signal HUP gateway-1
give_settings
wait_log gateway-1 'settings read again'
kill_hard gateway-1

start_slowly
signal TERM gateway-1
give_settings
wait_log gateway-1 'draining signal=15'
wait_log gateway-1 'gateway: ended'

# The log of the life before is still there.
expect "lives in the log" "$(grep -c 'gateway: started' "$WORK/gateway-1.log")" 2
