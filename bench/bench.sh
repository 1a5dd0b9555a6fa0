#!/usr/bin/env bash
# Measures the latency that entry and agent add to a direct request to the same
# fake service, the throughput of an entry per core, and its memory. Compare
# the routed figures only with the direct ones of the same run.
set -u
here=$(dirname "$0")
IP=127.60.$((RANDOM % 250)).1
. "$here/../tests/cluster.sh"
tables=$here/../examples/uspon
seconds=${1:-5}

# rss_kb NAME, peak_kb NAME, cpu_ticks NAME: print the memory in KiB, its peak,
# and the CPU time in clock ticks of a process that this script has started.
rss_kb() {
    awk '/VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"
}
peak_kb() {
    awk '/VmHWM/ { print $2 }' "/proc/${PIDS[$1]}/status"
}
cpu_ticks() {
    awk '{ print $14 + $15 }' "/proc/${PIDS[$1]}/stat"
}

start_platform
for n in 1 2 3 4; do
    start_plain "plain-$n" "711$n"
    write_agent_settings "raspored-$n" "721$n" "plain-$n" split-a
    sed -i 's/level = debug/level = error/' "$WORK/raspored-$n.ini"
done
for n in 1 2; do
    start_engine "engine-$n" "710$n" --token-us 1000 \
        --prefill-rate 100000000 --memory-tokens 100000000
    write_agent_settings "savjetnik-$n" "720$n" "engine-$n" split-a
    sed -i 's/level = debug/level = error/' "$WORK/savjetnik-$n.ini"
done
publish_instances
sed 's/\(memory_tokens\|prefill_rate\) = .*/\1 = 100000000/' \
    "$tables/pools.ini" >"$WORK/pools.ini"
apply_tables "$tables/routes.ini" "$WORK/pools.ini"
for name in raspored-{1,2,3,4} savjetnik-{1,2}; do
    start "$name" "$BIN/dandelionfork-agent" --settings "$WORK/$name.ini"
done
start_entry entry-1 7301 split-a
sed -i 's/level = debug/level = error/' "$WORK/entry-1.ini"
sleep 1

read_path=/raspored/appointments
echo "== Latency with one caller, $seconds s each"
"$BIN/load" closed "$IP:7111" 1 "$seconds" "$read_path" 200 |
    sed 's/^/direct  /'
"$BIN/load" closed "$IP:7301" 1 "$seconds" "$read_path" 200 |
    sed 's/^/routed  /'

echo "== Throughput of one entry (one event loop), 64 callers"
before=$(cpu_ticks entry-1)
start_ms=$(date +%s%3N)
"$BIN/load" closed "$IP:7301" 64 "$seconds" "$read_path" 200 |
    tee "$WORK/throughput"
end_ms=$(date +%s%3N)
ticks=$(($(cpu_ticks entry-1) - before))
awk -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" -v ms=$((end_ms - start_ms)) '
    { for (i = 1; i <= NF; i++) if ($i ~ /^answered=/) n += substr($i, 10) }
    END {
        printf "entry used %.2f s of CPU time in %.2f s: %.0f requests/s per core\n",
            ticks / hz, ms / 1000, n / (ticks / hz)
    }' "$WORK/throughput"

echo "== Memory"
echo "idle entry: $(rss_kb entry-1) KiB"
for part in 1 2 3 4; do
    for n in $(seq 250); do
        printf 'url = "http://%s:7301/raspored/appointments?delay=4000&n=%d"\n' \
            "$IP" $((part * 1000 + n))
        printf 'output = "/dev/null"\n'
    done >"$WORK/urls-$part"
    start "callers-$part" curl -s --parallel --parallel-immediate \
        --parallel-max 250 -K "$WORK/urls-$part"
done
sleep 2
echo "entry with $(metric entry-1 dandelionfork_waiting) waiting callers:" \
    "$(rss_kb entry-1) KiB"
for part in 1 2 3 4; do
    reap "callers-$part" || echo "callers ended with $?"
done

prompt 4000000 200 true >"$WORK/million"
for n in 1 2 3 4 5 6 7 8; do
    start "long-$n" curl -s -H 'Expect:' -o /dev/null -w '%{http_code}\n' \
        -d @"$WORK/million" "http://$IP:7301/v1/completions"
done
for n in 1 2 3 4 5 6 7 8; do
    reap "long-$n" || echo "long-$n ended with $?"
done
echo "responses to eight prompts of a million tokens: $(cat \
    "$WORK"/long-*.log | sort | uniq -c | xargs)"
echo "entry's peak: $(peak_kb entry-1) KiB, agents' peaks:" \
    "$(peak_kb savjetnik-1) and $(peak_kb savjetnik-2) KiB"
