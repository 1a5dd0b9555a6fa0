#!/usr/bin/env bash
# Measures the time to the first token by prompt length for each policy, with
# real entries and agents and fake engines. The seed gives all policies the
# same requests.
#
#   policy.sh [SECONDS] [LOADS] [POLICIES] [FAULT]
#
# LOADS are shares of the engines' prefill rate. FAULT happens after a third of
# the run: none, freeze (SIGSTOP to an agent) or kill (SIGKILL to an agent).
seconds=${1:-60}
loads=${2:-"0.05 0.6 0.85"}
policies=${3:-"late-binding random least-loaded best-of-two"}
fault=${4:-none}
engines=${ENGINES:-16}
rate=${RATE:-100000}
cache=${CACHE:-1000000}
seed=${SEED:-1}
# Mean, in tokens, of the prompt lengths that bench/load.c draws with the
# arguments below.
mean_tokens=28884
longest_tokens=1000000
split_tokens=100000 # one prompt in 50 is longer
here=$(dirname "$0")

# measure POLICY LOAD: prints a line for each band of lengths and a summary.
measure() (
    IP=127.61.$((RANDOM % 250)).1
    . "$here/../tests/cluster.sh"
    # The baselines run with first-in, first-out agents that report their load,
    # which least-loaded and best-of-two compare.
    agent_lines=""
    [ "$1" = late-binding ] ||
        agent_lines="order = fifo
load_interval = 500ms"
    cat >"$WORK/routes.ini" <<END
[savjetnik]
paths = /v1/completions
pool = savjetnik
class = prompt
time_limit = 280s
END
    cat >"$WORK/pools.ini" <<END
[savjetnik]
class = prompt
endpoints = savjetnik-*
streams = 256
memory_tokens = 2400000
prefill_rate = $rate
END
    start_platform
    zones=(split-a split-b zadar-c)
    for n in $(seq "$engines"); do
        start_engine "engine-$n" $((7100 + n)) --token-us 1000 \
            --prefill-rate "$rate" --memory-tokens 2400000 \
            --cache-tokens "$cache"
        write_agent_settings "savjetnik-$n" $((7200 + n)) "engine-$n" \
            "${zones[n % 3]}" "$agent_lines"
        sed -i 's/level = debug/level = error/' "$WORK/savjetnik-$n.ini"
    done
    publish_instances
    apply_tables "$WORK/routes.ini" "$WORK/pools.ini"
    for n in $(seq "$engines"); do
        start "savjetnik-$n" "$BIN/dandelionfork-agent" \
            --settings "$WORK/savjetnik-$n.ini"
    done
    for n in 1 2; do
        start_entry "entry-$n" "730$n" "${zones[n]}" "policy = $1
body_memory = 512MiB"
    done
    sleep 1
    per_s=$(awk -v l="$2" -v n="$engines" -v r="$rate" -v m="$mean_tokens" \
        'BEGIN { printf "%.3f", l * n * r / m }')
    start load "$BIN/load" open "$IP:7301,$IP:7302" "$per_s" "$seconds" \
        "$seed" "$split_tokens" "$longest_tokens" 50
    if [ "$fault" != none ]; then
        sleep $((seconds / 3))
        case $fault in
        freeze) signal STOP savjetnik-1 ;;
        kill) kill_and_reap savjetnik-1 ;;
        esac
    fi
    reap load || echo "load failed"
    sed "s/^/policy=$1 load=$2 fault=$fault /" "$WORK/load.log"
    control=0 requests=0 reservations=0
    for n in 1 2; do
        control=$((control + $(metric "entry-$n" \
            dandelionfork_link_control_bytes_total)))
        requests=$((requests + $(metric "entry-$n" \
            dandelionfork_requests_total)))
        reservations=$((reservations + $(metric "entry-$n" \
            dandelionfork_reservations_total)))
    done
    cached=0
    for n in $(seq "$engines"); do
        cached=$((cached + $(fetch "http://$IP:$((7100 + n))/control/stats" |
            json_field cached_tokens)))
    done
    echo "policy=$1 load=$2 fault=$fault requests=$requests" \
        "control_bytes_per_request=$((control / requests))" \
        "reservations_per_request=$(awk -v a="$reservations" \
            -v b="$requests" 'BEGIN { printf "%.2f", a / b }')" \
        "cached_tokens=$cached"
)

for load in $loads; do
    for policy in $policies; do
        measure "$policy" "$load"
    done
done
