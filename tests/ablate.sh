#!/usr/bin/env bash
# Shows that the tests notice the loss of a mechanism: for each line of
# ablations.txt it disables one mechanism in a copy of the sources and requires
# at least one of the listed tests to fail. Arguments are names of lines;
# without any, all run.
set -eu
cd "$(dirname "$0")/.."
. tests/each_ablation.sh
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r CMakeLists.txt core io entry agent operator gateway platform bench \
    tests "$copy"/
cmake -S "$copy" -B "$copy/build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
    -DCMAKE_C_FLAGS=-Wno-error >/dev/null
targets="session_runner placement_runner quarantine_runner limit_runner test_directory test_gateway_core \
    test_callers test_dispatch_random test_binding_random \
    test_binding test_message test_store_follow test_followers \
    test_upstreams test_front test_numbers \
    test_http_call test_agents test_log test_config"
ninja -C "$copy/build" $targets >/dev/null

# targets_of TESTS: tests on real processes need the programs that they run.
gateway_programs="dandelionfork-gateway fake_users_store fake_worker fake_endless"
targets_of() {
    case $1 in
    faults_gateway_*) echo "$gateway_programs" ;;
    *faults_*) echo all ;;
    *) echo "$targets" ;;
    esac
}

# Tests that need the disabled mechanism wait in vain. wait_until of
# tests/cluster.sh therefore gives up earlier than by default.
export MAX_TRIES=250
failed=0
passed=0
# run_ablation NAME FILE SUBSTITUTION TESTS
run_ablation() {
    local saved
    saved=$(mktemp)
    cp "$copy/$2" "$saved"
    perl -0pi -e "$3" "$copy/$2"
    if cmp -s "$copy/$2" "$saved"; then
        echo "not ok $1: the substitution does not change $2"
        failed=$((failed + 1))
    elif ! ninja -C "$copy/build" $(targets_of "$4") >"$copy/log" 2>&1; then
        echo "not ok $1: does not build"
        tail -n 5 "$copy/log"
        failed=$((failed + 1))
    elif ctest --test-dir "$copy/build" -R "^($4)" --timeout 60 \
        >"$copy/log" 2>&1; then
        echo "not ok $1: its tests pass without the mechanism"
        failed=$((failed + 1))
    else
        echo "ok $1: its tests fail without the mechanism"
        passed=$((passed + 1))
    fi
    mv "$saved" "$copy/$2"
}

each_ablation tests/ablations.txt "$@"
echo "ablations: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
