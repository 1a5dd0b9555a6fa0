# What the tests of the operators' command use.
. "$(dirname "${BASH_SOURCE[0]}")/fleet.sh"
STORE=""

# operator ARGUMENTS...: its output in $WORK/out and $WORK/err, its status in
# STATUS.
operator() {
    STATUS=0
    (cd "$WORK/tables" && "$BIN/dandelionfork" "$@" --store "$STORE") \
        >"$WORK/out" 2>"$WORK/err" || STATUS=$?
}

# wanted STATUS WHAT
wanted() {
    [ "$STATUS" = "$1" ] || {
        cat "$WORK/out" "$WORK/err" >&2
        fail "$2: status $STATUS, wanted $1"
    }
}

# said TEXT WHAT: in either output.
said() {
    grep -q -- "$1" "$WORK/out" "$WORK/err" || {
        cat "$WORK/out" "$WORK/err" >&2
        fail "$2: did not say \"$1\""
    }
}

use_tables() {
    mkdir -p "$WORK/tables"
    cp "$TABLES"/*.ini "$WORK/tables/"
    STORE=$IP:${PORTS[platform]}
}

# check_out: the tables in force into the operator's files, with their header.
check_out() {
    operator show
    wanted 0 "show"
    sed -n '/^# routes/,/^# pools/p' "$WORK/out" >"$WORK/tables/routes.ini"
    sed -n '/^# pools/,$p' "$WORK/out" >"$WORK/tables/pools.ini"
    sed -n '/^# generation/p' "$WORK/out" >>"$WORK/tables/routes.ini"
}
