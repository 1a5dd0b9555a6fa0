#!/usr/bin/env bash
# Measures for docs/CAPACITY.md what each role costs per request, token, link,
# known endpoint and configuration change, and when idle. Everything runs on
# one machine, with fake endpoints and a fake platform. A variable NAME_before
# has a process's CPU time or memory, or a counter, at the start of a
# measurement.
here=$(dirname "$0")
IP=127.62.$((RANDOM % 250)).1
. "$here/../tests/cluster.sh"
tables=$here/../examples/uspon
TICK_MS=$((1000 / $(getconf CLK_TCK)))

rss_kb() { awk '/VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"; }
cpu_ms() {
    awk -v t="$TICK_MS" '{ print ($14 + $15) * t }' "/proc/${PIDS[$1]}/stat"
}
# platform_calls: prints the number of reads and writes at the platform.
platform_calls() {
    fetch "http://$IP:7000/control/calls" |
        sed 's/[^0-9,]//g; s/,/ /' | awk '{ print $1 + $2 }'
}
# lower_log_level NAME: from debug to info in its settings.
lower_log_level() { sed -i 's/level = debug/level = info/' "$WORK/$1.ini"; }

# --- One entry and two agents: requests and tokens
start_platform
start_plain plain-1 7111
start_engine engine-1 7101 --token-us 1000 --prefill-rate 1000000 \
    --memory-tokens 10000000
write_agent_settings raspored-1 7211 plain-1 split-a
write_agent_settings savjetnik-1 7201 engine-1 split-a
lower_log_level raspored-1 && lower_log_level savjetnik-1
publish_instances
sed 's/\(memory_tokens\|prefill_rate\) = .*/\1 = 10000000/;
    s/streams = .*/streams = 512/' "$tables/pools.ini" >"$WORK/pools.ini"
apply_tables "$tables/routes.ini" "$WORK/pools.ini"
start_agent raspored-1
start_agent savjetnik-1
start_entry entry-1 7301 split-a
echo "== Idle"
echo "entry $(rss_kb entry-1) KiB, agent $(rss_kb raspored-1) KiB"
entry_before=$(cpu_ms entry-1) agent_before=$(cpu_ms raspored-1)
control_before=$(metric entry-1 dandelionfork_link_control_bytes_total)
calls_before=$(platform_calls)
sleep 20
echo "in 20 s: entry $(($(cpu_ms entry-1) - entry_before)) ms of CPU time," \
    "agent $(($(cpu_ms raspored-1) - agent_before)) ms" \
    "(health checks each 100 ms)," \
    "$(($(metric entry-1 dandelionfork_link_control_bytes_total) -
        control_before))" \
    "control bytes," \
    "$(($(platform_calls) - calls_before)) calls at the platform"

echo "== Plain requests"
entry_before=$(cpu_ms entry-1) agent_before=$(cpu_ms raspored-1)
control_before=$(metric entry-1 dandelionfork_link_control_bytes_total)
n=$("$BIN/load" closed "$IP:7301" 16 5 /raspored/appointments 200 |
    sed 's/.*answered=\([0-9]*\).*/\1/')
awk -v n="$n" -v e=$(($(cpu_ms entry-1) - entry_before)) \
    -v a=$(($(cpu_ms raspored-1) - agent_before)) \
    -v b=$(($(metric entry-1 dandelionfork_link_control_bytes_total) -
        control_before)) \
    'BEGIN { printf "%d requests: entry %.1f us, agent %.1f us, %.0f control bytes each\n",
        n, e * 1000 / n, a * 1000 / n, b / n }'

echo "== Streamed tokens"
entry_before=$(cpu_ms entry-1) agent_before=$(cpu_ms savjetnik-1)
control_before=$(metric entry-1 dandelionfork_link_control_bytes_total)
for n in $(seq 50); do
    prompt 2000 2000 true >"$WORK/prompt"
    start "stream-$n" curl -s -H 'Expect:' -o /dev/null \
        -d @"$WORK/prompt" "http://$IP:7301/v1/completions"
done
sleep 1
echo "with 50 streams: entry $(rss_kb entry-1) KiB," \
    "agent $(rss_kb savjetnik-1) KiB"
for n in $(seq 50); do reap "stream-$n" || echo "stream $n: $?"; done
awk -v n=100000 -v e=$(($(cpu_ms entry-1) - entry_before)) \
    -v a=$(($(cpu_ms savjetnik-1) - agent_before)) \
    -v b=$(($(metric entry-1 dandelionfork_link_control_bytes_total) -
        control_before)) \
    'BEGIN { printf "%d tokens: entry %.1f us, agent %.1f us, %.0f control bytes each\n",
        n, e * 1000 / n, a * 1000 / n, b / n }'

echo "== Waiting requests"
entry_before=$(rss_kb entry-1) agent_before=$(rss_kb raspored-1)
for n in $(seq 250); do
    printf 'url = "http://%s:7301/raspored/visits?delay=5000&n=%d"\n' \
        "$IP" "$n"
    printf 'output = "/dev/null"\n'
done >"$WORK/urls"
start callers curl -s --parallel --parallel-immediate --parallel-max 250 \
    -K "$WORK/urls"
sleep 2
awk -v n="$(metric entry-1 dandelionfork_waiting)" \
    -v e=$(($(rss_kb entry-1) - entry_before)) \
    -v a=$(($(rss_kb raspored-1) - agent_before)) \
    'BEGIN { printf "%d waiting: entry %.1f KiB, agent %.1f KiB each\n",
        n, e / n, a / n }'
kill_and_reap callers

echo "== Accounts with work waiting"
for kind in one many; do
    agent_before=$(rss_kb raspored-1)
    for n in $(seq 1000); do
        name=large
        [ $kind = one ] || name=account-$n
        printf 'url = "http://%s:7301/raspored/visits?delay=3000&n=%d"\n' \
            "$IP" "$n"
        printf 'output = "/dev/null"\nheader = "X-Account: %s"\n' "$name"
        [ "$n" = 1000 ] || printf 'next\n'
    done >"$WORK/urls"
    start callers curl -s --parallel --parallel-immediate \
        --parallel-max 300 -K "$WORK/urls"
    sleep 2
    echo "$kind: agent +$(($(rss_kb raspored-1) - agent_before)) KiB," \
        "$(metric entry-1 dandelionfork_waiting) waiting"
    kill_and_reap callers
    sleep 4
done

echo "== Routes and pools"
cp "$tables/routes.ini" "$WORK/routes.ini"
cp "$WORK/pools.ini" "$WORK/pools-many.ini"
for n in $(seq 1000); do
    printf '[r-%d]\npaths = /r/%d\npool = p-%d\nclass = plain\n' \
        "$n" "$n" "$n" >>"$WORK/routes.ini"
    printf '[p-%d]\nclass = plain\nendpoints = p-%d-*\n' "$n" "$n" \
        >>"$WORK/pools-many.ini"
done
entry_before=$(rss_kb entry-1) agent_before=$(rss_kb raspored-1)
apply_tables "$WORK/routes.ini" "$WORK/pools-many.ini"
wait_log raspored-1 "in force generation=$GENERATION"
echo "1000 routes and 1000 pools, $(wc -c <"$WORK/head.json") bytes:" \
    "entry +$(($(rss_kb entry-1) - entry_before)) KiB," \
    "agent +$(($(rss_kb raspored-1) - agent_before)) KiB"
for round in 1 2 3 4 5; do
    apply_tables "$WORK/routes.ini" "$WORK/pools-many.ini"
    wait_log raspored-1 "in force generation=$GENERATION"
done
echo "five generations later:" \
    "entry +$(($(rss_kb entry-1) - entry_before)) KiB," \
    "agent +$(($(rss_kb raspored-1) - agent_before)) KiB"

echo "== The operators' command"
calls_before=$(platform_calls)
sed 's/time_limit = 5s/time_limit = 6s/' "$tables/routes.ini" \
    >"$WORK/edit.ini"
"$BIN/dandelionfork" apply --store "$IP:7000" --base $GENERATION \
    --routes "$WORK/edit.ini" --pools "$WORK/pools.ini" --timeout 0s ||
    echo "apply ended with $?"
echo "an edit: $(($(platform_calls) - calls_before)) platform calls"

echo "== Endpoints known"
for count in 1000 5300; do
    entry_before=$(rss_kb entry-1)
    list=$INSTANCES
    for n in $(seq "$count"); do
        PORTS[other-$n]=$((10000 + n))
        list="$list,$(instance_json "other-$n" zadar-c critical)"
    done
    printf '[%s]' "$list" >"$WORK/list.json"
    platform_control instances -d @"$WORK/list.json"
    wait_log entry-1 "listed=$((count + 2))"
    echo "$count more: the list has ${#list} bytes," \
        "entry +$(($(rss_kb entry-1) - entry_before)) KiB"
done
for name in entry-1 raspored-1 savjetnik-1 engine-1; do
    kill_and_reap $name
done

# --- Growing fleets, all agents beside one fake plain service
for entries in ${FLEETS-2 4 8}; do
    agents=$((entries * 10))
    INSTANCES=""
    listed=""
    for n in $(seq "$agents"); do
        write_agent_settings "raspored-$n" $((8000 + n)) plain-1 split-a
        lower_log_level "raspored-$n"
        sed -i 's/health_interval = .*/health_interval = 500ms/' \
            "$WORK/raspored-$n.ini"
        : >"$WORK/raspored-$n.log"
    done
    for n in $(seq "$entries"); do
        PORTS[entry-$n]=$((7300 + n))
        listed="$listed${listed:+,}$(instance_json "entry-$n" split-a passing)"
    done
    publish_instances
    platform_control entries -d "[$listed]"
    for n in $(seq "$agents"); do start_agent "raspored-$n"; done
    for n in $(seq "$entries"); do
        : >"$WORK/entry-$n.log"
        start_entry "entry-$n" $((7300 + n)) split-a
    done
    sleep 65
    entry_before=$(cpu_ms entry-1) agent_before=$(cpu_ms raspored-1)
    calls_before=$(platform_calls)
    control_before=$(metric entry-1 dandelionfork_link_control_bytes_total)
    sleep 10
    echo "== $entries entries, $agents agents, idle for 10 s"
    echo "entry $(rss_kb entry-1) KiB, agent $(rss_kb raspored-1) KiB;" \
        "entry $(($(cpu_ms entry-1) - entry_before)) ms," \
        "agent $(($(cpu_ms raspored-1) - agent_before)) ms of CPU time;" \
        "$(($(metric entry-1 dandelionfork_link_control_bytes_total) -
            control_before))" \
        "control bytes at an entry;" \
        "$(($(platform_calls) - calls_before)) platform calls"
    calls_before=$(platform_calls)
    control_before=$(metric entry-1 dandelionfork_link_control_bytes_total)
    data_before=$(metric entry-1 dandelionfork_link_data_bytes_total)
    sed "s/time_limit = 5s/time_limit = ${entries}s/" "$tables/routes.ini" \
        >"$WORK/routes.ini"
    start_ms=$(date +%s%3N)
    apply_tables "$WORK/routes.ini" "$WORK/pools.ini"
    for n in $(seq "$agents"); do
        wait_log "raspored-$n" "in force generation=$GENERATION"
    done
    echo "a configuration change: in force at all agents after" \
        "$(($(date +%s%3N) - start_ms)) ms (polled in steps of 20 ms);" \
        "$(($(platform_calls) - calls_before)) platform calls;" \
        "$(($(metric entry-1 dandelionfork_link_data_bytes_total) -
            data_before +
            $(metric entry-1 dandelionfork_link_control_bytes_total) -
            control_before))" \
        "bytes sent and received by an entry"
    for n in $(seq "$agents"); do kill_and_reap "raspored-$n"; done
    for n in $(seq "$entries"); do kill_and_reap "entry-$n"; done
done
