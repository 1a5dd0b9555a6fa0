# Functions for the tests of the operators' command.
. "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
STORE_ADDRESS=""

# operator ARGUMENTS...: runs the command in the folder of the tables. Its
# output goes to $WORK/out and $WORK/err, its exit status to STATUS.
operator() {
    STATUS=0
    (cd "$WORK/tables" &&
        "$BIN/dandelionfork" "$@" --store "$STORE_ADDRESS") \
        >"$WORK/out" 2>"$WORK/err" || STATUS=$?
}

# expect_status STATUS WHAT: checks the exit status of the last operator
# command.
expect_status() {
    [ "$STATUS" = "$1" ] || {
        cat "$WORK/out" "$WORK/err" >&2
        fail "$2: status $STATUS, expected $1"
    }
}

# expect_output PATTERN WHAT: looks for the pattern in both outputs.
expect_output() {
    grep -q -- "$1" "$WORK/out" "$WORK/err" || {
        cat "$WORK/out" "$WORK/err" >&2
        fail "$2: the output lacks \"$1\""
    }
}

copy_tables() {
    mkdir -p "$WORK/tables"
    cp "$TABLES"/*.ini "$WORK/tables/"
    STORE_ADDRESS=$IP:${PORTS[platform]}
}

# export_tables: writes the tables in force, with the line of their generation,
# to the operator's files.
export_tables() {
    operator show
    expect_status 0 "show"
    sed -n '/^# routes/,/^# pools/p' "$WORK/out" >"$WORK/tables/routes.ini"
    sed -n '/^# pools/,$p' "$WORK/out" >"$WORK/tables/pools.ini"
    sed -n '/^# generation/p' "$WORK/out" >>"$WORK/tables/routes.ini"
}
