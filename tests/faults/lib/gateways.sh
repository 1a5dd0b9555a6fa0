# A small deployment on the users' platform, the platform of gateways, which is
# not that of entries and agents (Consul): its store, the plain workers
# worker-1 and worker-2, the model workers worker-3 and worker-4, and the
# gateways gateway-1 and gateway-2. A test may set BOUNDS, lines of the
# gateways' [bounds], GATEWAY_LINES, lines of their [gateway], CLOSE and GRACE,
# settings there, and MAX_CONNS, MAX_BODY and IDLE_MS, limits of the
# configuration.
. "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
GATEWAY=http://$IP:7501
GATEWAY2=http://$IP:7502
STORE_URL=http://$IP:7000
VERSION=0

# store_control PATH [CURL_ARGUMENTS]: controls the fake store.
store_control() {
    curl -s -X PUT "$STORE_URL/control/$1" "${@:2}" -o /dev/null
}

start_store() {
    start store "$BIN/tests/fake_users_store" --ip "$IP" --port 7000
    wait_log store ready
}

# register NUMBER [STATE [BORN]]: writes the worker's registration to the store,
# with the start of its instance. The variable ZONE may replace its data
# centre, and COLD_MS be how much longer it is cold.
register() {
    local service=plain
    [ "$1" -lt 3 ] || service=model
    store_control "put?key=servers/worker-$1" -d "{\"service\":\"$service\",
        \"address\":\"$IP:740$1\",\"zone\":\"${ZONE:-here}\",\"version\":\"v1\",
        \"slots\":4,\"state\":\"${2:-ready}\",\"cold_remaining_ms\":${COLD_MS:-0},
        ${3:+\"born\":$3,}\"sequence\":1}"
}

start_worker() {
    start "worker-$1" "$BIN/tests/fake_worker" --ip "$IP" --port "740$1" \
        --number "$1"
    wait_log "worker-$1" ready
}

# worker_control NUMBER PATH: controls a fake worker.
worker_control() {
    fetch -X PUT "http://$IP:740$1/control/$2" -o /dev/null
}

# worker_stat NUMBER NAME: prints a counter of a fake worker.
worker_stat() {
    fetch "http://$IP:740$1/control/stats" | json_field "$2"
}

# configure [ROUTES]: writes a newer version of the configuration to the
# store; versions need not be consecutive. ROUTES are further routes in JSON,
# each followed by a comma. The variable KEYS may replace the account's keys,
# and ACCOUNTS add others, each after a comma, in JSON, as PLAIN_FIELDS does for
# fields of the plain service.
configure() {
    VERSION=$((VERSION + 3))
    store_control "put?key=op/config" -d "{\"version\":$VERSION,\"routes\":[$1
      {\"name\":\"plain\",\"host\":\"a.example\",\"prefix\":\"/plain/\",
       \"kind\":\"safe\",\"timeout_ms\":60000,\"target_latency_ms\":200,
       \"priority\":1,\"service\":\"plain\",\"max_attempts\":2,
       \"public\":false},
      {\"name\":\"once\",\"host\":\"a.example\",\"prefix\":\"/once/\",
       \"kind\":\"unsafe\",\"timeout_ms\":60000,\"target_latency_ms\":200,
       \"priority\":1,\"service\":\"plain\",\"max_attempts\":1,
       \"public\":true},
      {\"name\":\"quick\",\"host\":\"a.example\",\"prefix\":\"/quick/\",
       \"kind\":\"safe\",\"timeout_ms\":300,\"target_latency_ms\":200,
       \"priority\":1,\"service\":\"plain\",\"max_attempts\":1,
       \"public\":true},
      {\"name\":\"stream\",\"host\":\"a.example\",\"prefix\":\"/stream/\",
       \"kind\":\"streaming\",\"timeout_ms\":60000,
       \"target_latency_ms\":300,\"priority\":1,\"service\":\"model\",
       \"max_attempts\":2,\"public\":true,\"resumable\":true,
       \"gap_aim_ms\":250}],
      \"services\":[
       {\"name\":\"plain\",\"health_check\":\"/healthz\",\"max_conns\":${MAX_CONNS:-64}
        ${PLAIN_FIELDS:-}},
       {\"name\":\"model\",\"health_check\":\"/healthz\",\"max_conns\":64,
        \"engine\":{\"slots\":4,\"kv_capacity\":400000,\"stride\":10,
        \"step_ms\":1.5,\"per_seq_ms\":0.001,\"context_per_k\":0.002,
        \"read_per_s\":150000.0,\"pairs_per_m\":0.16,\"chunk\":2048}}],
      \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":${MAX_BODY:-65536},
       \"header_timeout_ms\":3000,\"idle_timeout_ms\":${IDLE_MS:-15000}},
      \"tenants\":[{\"name\":\"uspon\",\"api_keys\":[${KEYS:-\"key-1\"}]}
       ${ACCOUNTS:-}]}"
}

# write_gateway_settings NUMBER [BOUNDS]
write_gateway_settings() {
    cat >"$WORK/gateway-$1.ini" <<END
[gateway]
instance = gateway-$1
data_centre = here
listen = $IP:750$1
status = $IP:751$1
metrics = $IP:752$1
peers = $IP:753$1
seeds = $IP:7531; $IP:7532
close = ${CLOSE:-200ms}
grace = ${GRACE:-20s}
${GATEWAY_LINES:-}

[bounds]
${2:-}

[platform]
store = ${STORE_URL#http://}

[log]
output = stdout
END
}

start_gateway() {
    start "gateway-$1" "$BIN/dandelionfork-gateway" \
        --settings "$WORK/gateway-$1.ini"
    wait_until is_ready "$1"
}

# is_ready NUMBER, is_not_ready NUMBER: of a gateway.
is_ready() {
    [ "$(fetch -o /dev/null -w '%{http_code}' \
        "http://$IP:751$1/dandelionfork/ready")" = 200 ]
}

is_not_ready() {
    ! is_ready "$1"
}

# call GATEWAY_URL PATH [CURL_ARGUMENTS]: sends a request to a gateway and
# prints the status. The response goes to $WORK/call.head and $WORK/body. The
# variable HOST may replace the Host header.
call() {
    fetch -o "$WORK/body" -D "$WORK/call.head" -w '%{http_code}' \
        -H "Host: ${HOST:-a.example}" -H "Attempt-Id: $RANDOM$RANDOM" \
        -H 'Deadline-Ms: 30000' "${@:3}" "$1$2"
}

# send_many COUNT: sends plain requests to the first gateway, which serves each.
send_many() {
    local n
    for n in $(seq 1 "$1"); do
        expect "request $n" \
            "$(call "$GATEWAY" /plain/x -H 'Credential: key-1')" 200
    done
}

# gateway_metric NUMBER NAME
gateway_metric() {
    fetch "http://$IP:752$1/metrics" |
        awk -v name="dandelionfork_gateway_$2" '$1 == name { print $2 }'
}

# gateway_count_is NUMBER COUNT: whether the gateway knows so many gateways.
gateway_count_is() {
    [ "$(gateway_metric "$1" gateways)" = "$2" ]
}

# version_in_force NUMBER VERSION
version_in_force() {
    [ "$(gateway_metric "$1" config_version)" = "$2" ]
}

start_deployment() {
    local n
    start_store
    configure ""
    for n in 1 2 3 4; do
        start_worker "$n"
        register "$n"
    done
    write_gateway_settings 1 "${BOUNDS:-}"
    write_gateway_settings 2 "${BOUNDS:-}"
    start_gateway 1
    start_gateway 2
    wait_until gateway_count_is 1 2
    wait_until gateway_count_is 2 2
}
