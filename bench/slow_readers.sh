#!/usr/bin/env bash
# Prints memory and processor time of a gateway with slow readers, at first and
# each 5 s. READERS callers (1000) read streams of 4 MB at RATE bytes a second
# (4000), through buffers of 16 KB; the gateway's machine has MEMORY_MB (400).
# BIN is the build folder.
READERS=${READERS:-1000}
MAX_CONNS=8192
GATEWAY_LINES="memory_mb = ${MEMORY_MB:-400}"
cd "$(dirname "$0")/.." || exit 1
. tests/faults/lib/gateways.sh
PER_PROCESS=900

print_line() {
    local pid=${PIDS[gateway-1]}
    echo "$1 rss_kb=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/$pid/status")" \
        "response_bytes=$(gateway_metric 1 held_response_bytes)" \
        "kernel_bytes=$(gateway_metric 1 held_kernel_bytes)" \
        "limit_bytes=$(gateway_metric 1 response_limit_bytes)" \
        "slow=$(gateway_metric 1 slow_readers)" \
        "ended=$(gateway_metric 1 readers_ended_total)" \
        "stalled=$(gateway_metric 1 readers_stalled_total)" \
        "cpu_ms=$(awk '{ print ($14 + $15) * 10 }' "/proc/$pid/stat")"
}

start_deployment
configure '{"name":"large","host":"b.example","prefix":"/",
    "kind":"safe","timeout_ms":120000,"target_latency_ms":200,"priority":1,
    "service":"plain","max_attempts":1,"public":true},'
wait_until version_in_force 1 "$VERSION"
print_line "at first"
for ((left = READERS; left > 0; left -= PER_PROCESS)); do
    start "readers-$left" "$BIN/tests/slow_callers" --ip "$IP" --port 7501 \
        --count $((left < PER_PROCESS ? left : PER_PROCESS)) \
        --rate "${RATE:-4000}" --path '/stream/x?events=1000&padding=4000'
    STARTED+=("readers-$left")
done
for name in "${STARTED[@]}"; do
    wait_log "$name" ready
done
for ((second = 0; second <= ${SECONDS_LONG:-25}; second += 5)); do
    print_line "after $second s"
    sleep 5
done
for name in "${STARTED[@]}"; do
    signal TERM "$name"
    reap "$name"
    cat "$WORK/$name.log"
done
