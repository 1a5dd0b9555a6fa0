# The operators' command on a running fleet: check, first apply, edits that
# merge and edits that conflict, races, history, status.
. "$(dirname "$0")/lib/operator.sh"
start_platform
use_tables
for n in 1 2; do
    start_plain "plain-$n" "711$n"
    agent_settings "raspored-$n" "721$n" "plain-$n" split-a
done
list_instances
start_agent raspored-1
start_agent raspored-2
PORTS[entry-1]=7301
platform_control entries -d "[$(instance entry-1 split-a passing)]"
start_entry_unready() {
    cat >"$WORK/entry-1.ini" <<END
[entry]
instance = entry-1
data_centre = split-a
listen = $IP:7301
[platform]
store = $STORE
END
    start entry-1 "$BIN/dandelionfork-entry" --settings "$WORK/entry-1.ini"
}
start_entry_unready

# Wrong tables: all errors, each with its place.
printf '[a]\npaths = /a\npool = none\nclass = plain\ncolour = 1\n' \
    >"$WORK/tables/bad.ini"
operator check --routes bad.ini
wanted 1 "check of wrong tables"
said 'bad.ini:5: \[a\].colour: unknown key' "check"
said 'bad.ini:3: \[a\].pool: there is no pool \[none\]' "check"
operator check
wanted 0 "check"
operator frobnicate
wanted 2 "an unknown command"
operator diff
wanted 0 "diff with an empty store"
said 'routes \[savjetnik\] added' "diff"

# The first tables.
operator apply --author ana --change first
wanted 0 "the first apply"
said 'accepted as generation 1, change first' "apply"
said 'in force at 3 of 3 processes' "apply"
wait_until curl -sf "$ENTRY/healthz"
get -d '{"visit":1}' -D "$WORK/booked.head" -o /dev/null \
    "$ENTRY/raspored/visits"
expect "a booking" "$(status_of booked)" 200

# An edit without a base is refused; dry runs change nothing.
sed -i 's/time_limit = 20s/time_limit = 30s/' "$WORK/tables/routes.ini"
operator apply
wanted 2 "apply without a base"
operator apply --base 1 --dry-run
wanted 0 "a dry run"
said '+ time_limit = 30s' "a dry run"
operator show
said 'generation = 1' "show after a dry run"

# Two operators with the same base: different records merge.
operator apply --base 1 --author ana --change second
wanted 0 "ana's edit"
cp "$TABLES/routes.ini" "$WORK/tables/routes.ini"
sed -i 's/time_limit = 5s/time_limit = 7s/' "$WORK/tables/routes.ini"
operator apply --base 1 --author branko --change third
wanted 0 "branko's edit of another record"
operator show
said 'time_limit = 30s' "the merged tables"
said 'time_limit = 7s' "the merged tables"

# The same record: both sides are shown, nothing is written.
cp "$TABLES/routes.ini" "$WORK/tables/routes.ini"
sed -i 's/time_limit = 20s/time_limit = 25s/' "$WORK/tables/routes.ini"
operator apply --base 1 --author branko --change fourth
wanted 1 "a conflict"
said 'routes \[raspored-write\] was edited by two operators' "a conflict"
said 'time_limit = 30s' "a conflict"
said 'time_limit = 25s' "a conflict"

# One deletes a pool and its routes while the other adds a route to it: the
# records are not the same, but the whole would be wrong.
check_out
cp -r "$WORK/tables" "$WORK/branko"
printf '\n[parts]\npaths = /parts\npool = raspored\nclass = plain\n' \
    >>"$WORK/tables/routes.ini"
operator apply --author ana --change fifth
wanted 0 "a route to a pool"
awk '/^\[/ { skip = /^\[raspored/ } !skip || /^#/' \
    "$WORK/branko/routes.ini" >"$WORK/tables/routes.ini"
awk '/^\[/ { skip = /^\[raspored/ } !skip || /^#/' \
    "$WORK/branko/pools.ini" >"$WORK/tables/pools.ini"
operator apply --author branko --change sixth
wanted 1 "a pool removed under a route"
said 'there is no pool \[raspored\]' "a pool removed under a route"

# The trail has who, when, what and the refusals.
operator history
said 'ana accepted as generation 1, from 0, change first' "history"
said 'branko refused, from 1, change fourth: conflict' "history"
said 'branko refused, from 3, change sixth: the merged tables' "history"
said 'routes \[raspored-write\] changed' "history"
operator history --change never
wanted 1 "history of a change that never was"
operator history --json
expect "lines of history" "$(wc -l <"$WORK/out")" 6

# Who has not taken it.
operator status
wanted 0 "status"
signal STOP raspored-2
operator status
wanted 5 "status beside a frozen agent"
said "agent raspored-2 can't be reached" "status"
signal CONT raspored-2

# Ten operators at once, each an edit of a record of its own: all are accepted,
# none is lost.
check_out
for n in 0 1 2 3 4 5 6 7 8 9; do
    cp -r "$WORK/tables" "$WORK/tables-$n"
    printf '[extra-%d]\npaths = /extra/%d\npool = raspored\nclass = plain\n' \
        "$n" "$n" >>"$WORK/tables-$n/routes.ini"
    start "operator-$n" sh -c "cd '$WORK/tables-$n' &&
        exec '$BIN/dandelionfork' apply --base 4 --change extra-$n \
        --timeout 0s --store $STORE"
done
for n in 0 1 2 3 4 5 6 7 8 9; do
    reap "operator-$n" || fail "operator-$n ended with $?"
done
operator show
said 'generation = 14' "ten operators at once"
expect "records of ten operators" "$(grep -c '^\[extra-' "$WORK/out")" 10
operator history
expect "accepted lines" "$(grep -c ' accepted as ' "$WORK/out")" 14
