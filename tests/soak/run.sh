#!/usr/bin/env bash
# run.sh BUILD SECONDS SEED...: runs the soak with each seed, four at a time.
# Prints the broken guarantees and a summary for each seed. The exit status is
# not 0 if a guarantee was broken.
set -eu
build=$1
seconds=$2
shift 2
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# The thread sanitizer can't track GLib's slice allocator, so it is switched
# off.
export G_SLICE=always-malloc

# run_seed SEED
run_seed() {
    local status=0
    bash tests/with_address.sh \
        "127.$((100 + $1 / 250 % 100)).$(($1 % 250 + 1)).1" \
        "$build/tests/soak" --bin "$build" --seed "$1" --seconds "$seconds" \
        >"$out/$1" 2>&1 || status=$?
    grep -E '^(not ok|requests=|seed=|logs:)' "$out/$1" || cat "$out/$1"
    return "$status"
}
export -f run_seed
export build seconds out
printf '%s\n' "$@" | xargs -P 4 -I{} bash -c 'run_seed {}'
