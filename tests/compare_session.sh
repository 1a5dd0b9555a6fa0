# compare_session.sh RUNNER SESSION: runs a session and compares the output
# with its golden file, SESSION with the ending .expected. UPDATE=1 overwrites
# the golden file; read the change before you commit it.
set -eu
expected=${2%.session}.expected
if [ -n "${UPDATE:-}" ]; then
    "$1" "$2" >"$expected"
    exit
fi
"$1" "$2" | diff -u "$expected" -
