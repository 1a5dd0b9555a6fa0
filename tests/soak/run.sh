#!/usr/bin/env bash
# run.sh BUILD SECONDS SEED...: the soak with each seed, four at a time; prints
# broken promises and a line a seed. Ends with status 1 if any was broken.
set -eu
build=$1
seconds=$2
shift 2
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# The thread sanitizer can't see into GLib's own allocator.
export G_SLICE=always-malloc

# one SEED
one() {
    local status=0
    "$build/tests/soak" --bin "$build" --seed "$1" --seconds "$seconds" \
        --ip "127.$((100 + $1 / 250 % 100)).$(($1 % 250 + 1)).1" \
        >"$out/$1" 2>&1 || status=$?
    grep -E '^(not ok|requests=|seed=|logs:)' "$out/$1" || cat "$out/$1"
    return "$status"
}
export -f one
export build seconds out
printf '%s\n' "$@" | xargs -P 4 -I{} bash -c 'one {}'
