#!/usr/bin/env bash
# Takes each mechanism of ablations.txt out of a copy of the sources and wants
# the named tests to fail. Without arguments all of them, else those named.
set -eu
cd "$(dirname "$0")/.."
. tests/each_ablation.sh
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r CMakeLists.txt core io entry agent operator gateway platform bench tests "$copy"/
cmake -S "$copy" -B "$copy/build" -G Ninja -DCMAKE_BUILD_TYPE=Debug \
    -DCMAKE_C_FLAGS=-Wno-error >/dev/null
targets="session_runner placement_runner test_directory test_gateway_core \
    test_callers test_dispatch_random test_binding_random \
    test_binding test_message test_store_follow test_followers \
    test_upstreams"
ninja -C "$copy/build" $targets >/dev/null

# Tests on real processes need all programs.
targets_of() {
    case $1 in
    *faults_*) echo all ;;
    *) echo "$targets" ;;
    esac
}

# What never happens without a mechanism is not waited for as long.
export MAX_TRIES=250
failed=0
passed=0
# try NAME FILE SUBSTITUTION TESTS
try() {
    local saved
    saved=$(mktemp)
    cp "$copy/$2" "$saved"
    perl -0pi -e "$3" "$copy/$2"
    if cmp -s "$copy/$2" "$saved"; then
        echo "not ok $1: the substitution finds nothing in $2"
        failed=$((failed + 1))
    elif ! ninja -C "$copy/build" $(targets_of "$4") >"$copy/log" 2>&1; then
        echo "not ok $1: does not build"
        tail -n 5 "$copy/log"
        failed=$((failed + 1))
    elif ctest --test-dir "$copy/build" -R "^($4)" --timeout 60 \
        >"$copy/log" 2>&1; then
        echo "not ok $1: its tests pass without it"
        failed=$((failed + 1))
    else
        echo "ok $1: red without it"
        passed=$((passed + 1))
    fi
    mv "$saved" "$copy/$2"
}

each_ablation tests/ablations.txt "$@"
echo "ablations: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
