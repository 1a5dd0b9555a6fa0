#!/usr/bin/env bash
# Shows that the tests notice the loss of a mechanism: for each line of
# ablations.txt it disables one mechanism in a copy of the sources and requires
# at least one of the listed tests to fail. Arguments are names of lines;
# without any, all run. WORKERS copies are used side by side.
set -eu
cd "$(dirname "$0")/.."
. tests/each_ablation.sh
WORKERS=${WORKERS:-$(((${JOBS:-$(nproc)} + 1) / 2))}

targets="session_runner placement_runner quarantine_runner limit_runner syntax_runner test_admission test_drain_admission test_directory test_directory_eras test_era_change test_config_reader test_config_copy test_gateway_core test_availability test_outage test_room test_explain \
    test_callers test_dispatch_random test_binding_random \
    test_binding test_message test_store_answers test_store_follow test_followers \
    test_upstreams test_send_queue test_buffer_budget test_link test_front test_numbers test_peer_progress test_response_framing test_cut_heads test_broken_answers test_response_buffer test_odd_entries \
    test_http_call test_agents test_log test_config"
# targets_of TESTS: tests on real processes need the programs that they run.
gateway_programs="dandelionfork-gateway dandelionfork fake_users_store fake_worker fake_endless slow_callers"
targets_of() {
    case $1 in
    faults_gateway_*) echo "$gateway_programs" ;;
    *faults_*) echo all ;;
    *) echo "$targets" ;;
    esac
}

# make_copy FOLDER
make_copy() {
    mkdir "$1"
    cp -r CMakeLists.txt cmake core io entry agent operator gateway platform bench \
        tests "$1"/
    cmake -S "$1" -B "$1/build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
        -DCMAKE_C_FLAGS=-Wno-error >/dev/null
    # shellcheck disable=SC2086
    ninja -C "$1/build" $targets >/dev/null
}

# Tests that need the disabled mechanism wait in vain. wait_until of
# tests/cluster.sh therefore gives up earlier than by default.
export MAX_TRIES=250
# run_ablation NAME FILE SUBSTITUTION TESTS: prints the result.
run_ablation() {
    local copy=$COPIES/$SLOT saved
    saved=$(mktemp)
    cp "$copy/$2" "$saved"
    perl -0pi -e "$3" "$copy/$2"
    if cmp -s "$copy/$2" "$saved"; then
        echo "not ok $1: the substitution does not change $2"
    # shellcheck disable=SC2046
    elif ! ninja -C "$copy/build" $(targets_of "$4") >"$copy/log" 2>&1; then
        echo "not ok $1: does not build: $(tail -n 5 "$copy/log" | tr '\n' ' ')"
    elif ctest --test-dir "$copy/build" -R "^($4)" --timeout 60 \
        >"$copy/log" 2>&1; then
        echo "not ok $1: its tests pass without the mechanism"
    else
        echo "ok $1: its tests fail without the mechanism"
    fi
    # Newer than what was built from it, so that it is built again.
    mv "$saved" "$copy/$2"
    touch "$copy/$2"
}

# A worker: one line, in the copy of its slot.
if [ -n "${COPIES:-}" ]; then
    each_ablation tests/ablations.txt "$1"
    exit
fi

names=$(ablation_names tests/ablations.txt "$@")
[ -n "$names" ] || { echo "no such line in tests/ablations.txt: $*" >&2; exit 1; }
COPIES=$(mktemp -d)
export COPIES
trap 'rm -rf "$COPIES"' EXIT
for slot in $(seq 0 $((WORKERS - 1))); do
    make_copy "$COPIES/$slot" &
    copying+=($!)
done
for copy in "${copying[@]}"; do
    wait "$copy"
done
# The last lines take longest.
echo "$names" | tac |
    xargs -P "$WORKERS" -n 1 --process-slot-var=SLOT bash tests/ablate.sh |
    tee "$COPIES/results"
expected=$(echo "$names" | wc -l)
passed=$(grep -c '^ok ' "$COPIES/results" || true)
echo "ablations: $passed passed, $((expected - passed)) failed"
[ "$passed" -eq "$expected" ]
