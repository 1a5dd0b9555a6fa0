# Plays a session and compares its output with the golden file beside it.
# UPDATE=1 writes the golden file anew, to be read before it is committed.
set -eu
expected=${2%.session}.expected
if [ -n "${UPDATE:-}" ]; then
    "$1" "$2" >"$expected"
    exit
fi
"$1" "$2" | diff -u "$expected" -
