# Guards against a gateway whose descriptors are all held by idle callers: it
# could open no connection to a worker, accepted nobody, and logged each try.
MAX_CONNS=4096
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
configure '{"name":"large","host":"b.example","prefix":"/",
    "kind":"safe","timeout_ms":60000,"target_latency_ms":200,"priority":1,
    "service":"plain","max_attempts":1,"public":true},'
wait_until version_in_force 1 "$VERSION"
signal TERM gateway-1
reap gateway-1 || fail "gateway-1 did not end cleanly"
# shellcheck disable=SC2016
start gateway-1 bash -c 'ulimit -n 128; exec "$0" "$@"' \
    "$BIN/dandelionfork-gateway" --settings "$WORK/gateway-1.ini"
wait_until is_ready 1

# More idle callers than descriptors: those idle longest make room.
start idle "$BIN/tests/slow_callers" --ip "$IP" --port 7501 --count 150 \
    --idle 1
wait_log idle ready
send_many 5
[ "$(gateway_metric 1 idle_closed_total)" -ge 70 ] ||
    fail "idle callers were not closed: $(gateway_metric 1 idle_closed_total)"
expect "pauses of accepting" "$(gateway_metric 1 accept_pauses_total)" 0

# More callers with requests than descriptors: none is idle, so the rest wait
# until others have their answers, and all are served.
start busy "$BIN/tests/slow_callers" --ip "$IP" --port 7501 --count 100 \
    --rate 100000 --path '/stream/x?events=50'
wait_log busy ended
expect "ends of the answers of busy callers" "$(grep ended "$WORK/busy.log")" \
    "ended whole=100 cut=0"
wait_log gateway-1 'accepts callers again'
pauses=$(gateway_metric 1 accept_pauses_total)
[ "$pauses" -ge 1 ] || fail "accepting was not paused"
expect "lines when accepting pauses" \
    "$(grep -c 'too few descriptors' "$WORK/gateway-1.log")" "$pauses"
expect "accepts that failed" \
    "$(grep -c "can't accept" "$WORK/gateway-1.log")" 0
for name in idle busy; do
    signal TERM $name
    reap $name
done
signal TERM gateway-1
reap gateway-1 || fail "gateway-1 did not end cleanly"
