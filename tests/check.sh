#!/usr/bin/env bash
# Checks the format, runs the linter, and runs all tests in a plain build and
# with the address and undefined behaviour sanitizers, those labelled threads
# also with the thread sanitizer. Then runs the ablations. Tests that
# KNOWN-RED.txt lists run last; their result is printed and not counted.
set -eu
cd "$(dirname "$0")/.."
JOBS=${JOBS:-$(nproc)}
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')

make format
make lint

# run_tests BUILD [CTEST OPTIONS...]
run_tests() {
    local build=$1
    shift
    ctest --test-dir "$build" --output-on-failure -j "$JOBS" "$@" \
        ${known_red:+-E "^($known_red)\$"}
}

# build_with FOLDER SANITIZERS: sanitizers as for -fsanitize.
build_with() {
    cmake -S . -B "$1" -G Ninja -DSANITIZE="$2" -DCMAKE_BUILD_TYPE=Debug \
        >/dev/null
    ninja -C "$1" -j "$JOBS"
}

build_with build-asan address,undefined
build_with build-tsan thread
run_tests build-asan
run_tests build-tsan -L threads
run_tests build
bash tests/ablate.sh

if [ -n "$known_red" ]; then
    echo "Listed in KNOWN-RED.txt, not counted:"
    ctest --test-dir build -R "^($known_red)\$" || true
fi
