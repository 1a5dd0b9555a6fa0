#!/usr/bin/env bash
# Shows that the soak notices the loss of a mechanism: for each line of
# soak/ablations.txt it disables one mechanism in a copy of the sources and
# requires the soak to report the listed guarantee as broken with at least one
# of the SEEDS. Arguments are names of lines; without any, all run.
set -eu
cd "$(dirname "$0")/../.."
SEEDS=${SEEDS:-20 21 22 23 24 213 220 223 2033 2062 2064}
SECONDS_EACH=${SECONDS_EACH:-40}
failed=0
. tests/each_ablation.sh

# soak_reports FOLDER GUARANTEE NAME: whether a run reports it as broken.
soak_reports() {
    local seed address_part hash pids=()
    hash=$(printf '%s' "$3" | cksum | cut -d' ' -f1)
    address_part=$((hash / 100 % 20 * 10))
    for seed in $SEEDS; do
        address_part=$((address_part + 1))
        bash tests/with_address.sh \
            "127.$((hash % 100 + 100)).$address_part.1" \
            "$1/build/tests/soak" --bin "$1/build" --seed "$seed" \
            --seconds "$SECONDS_EACH" >"$1/$seed.out" 2>&1 &
        pids+=($!)
    done
    wait "${pids[@]}" || true
    grep -hq "^not ok seed=[0-9]* $2:" "$1"/*.out
}

# run_ablation NAME FILE SUBSTITUTION GUARANTEE
run_ablation() {
    local copy
    copy=$(mktemp -d)
    cp -r CMakeLists.txt cmake core io entry agent operator gateway platform bench \
        tests "$copy"/
    perl -0pi -e "$3" "$copy/$2"
    if cmp -s "$2" "$copy/$2"; then
        echo "not ok $1: the substitution does not change $2"
        failed=$((failed + 1))
    elif ! { cmake -S "$copy" -B "$copy/build" -G Ninja &&
        ninja -C "$copy/build" dandelionfork-gateway soak fake_worker \
            fake_users_store; } >"$copy/log" 2>&1; then
        echo "not ok $1: does not build"
        grep error "$copy/log" | head -n 3
        failed=$((failed + 1))
    elif soak_reports "$copy" "$4" "$1"; then
        echo "ok $1: the soak reports $4 as broken"
    else
        echo "not ok $1: the soak does not report $4 as broken"
        grep -h '^not ok' "$copy"/*.out | head -n 3 || true
        failed=$((failed + 1))
    fi
    rm -rf "$copy"
}

each_ablation tests/soak/ablations.txt "$@"
[ "$failed" -eq 0 ]
