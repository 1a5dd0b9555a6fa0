# The operators' command on a running fleet: check, the first apply, edits that
# merge or conflict, concurrent edits, history and status.
. "$(dirname "$0")/lib/operator.sh"
start_platform
copy_tables
for n in 1 2; do
    start_plain "plain-$n" "711$n"
    write_agent_settings "raspored-$n" "721$n" "plain-$n" split-a
done
publish_instances
start_agent raspored-1
start_agent raspored-2
PORTS[entry-1]=7301
platform_control entries -d "[$(instance_json entry-1 split-a passing)]"
# start_entry_unready: starts an entry that has no tables yet.
start_entry_unready() {
    cat >"$WORK/entry-1.ini" <<END
[entry]
instance = entry-1
data_centre = split-a
listen = $IP:7301
[platform]
store = $STORE_ADDRESS
END
    start entry-1 "$BIN/dandelionfork-entry" --settings "$WORK/entry-1.ini"
}
start_entry_unready

# The check of wrong tables reports all errors, each with its file and line.
printf '[a]\npaths = /a\npool = none\nclass = plain\ncolour = 1\n' \
    >"$WORK/tables/bad.ini"
operator check --routes bad.ini
expect_status 1 "check of wrong tables"
expect_output 'bad.ini:5: \[a\].colour: unknown key' "check"
expect_output 'bad.ini:3: \[a\].pool: there is no pool \[none\]' "check"
operator check
expect_status 0 "check"
operator frobnicate
expect_status 2 "an unknown command"
operator diff
expect_status 0 "diff with an empty store"
expect_output 'routes \[savjetnik\] added' "diff"

# The first tables.
operator apply --author ana --change first
expect_status 0 "the first apply"
expect_output 'accepted as generation 1, change first' "apply"
expect_output 'in force at 3 of 3 processes' "apply"
wait_until curl -sf "$ENTRY/healthz"
fetch -d '{"visit":1}' -D "$WORK/booked.head" -o /dev/null \
    "$ENTRY/raspored/visits"
expect "a booking" "$(status_of booked)" 200

# An edit without a base is refused; dry runs change nothing.
sed -i 's/time_limit = 20s/time_limit = 30s/' "$WORK/tables/routes.ini"
operator apply
expect_status 2 "apply without a base"
operator apply --base 1 --dry-run
expect_status 0 "a dry run"
expect_output '+ time_limit = 30s' "a dry run"
operator show
expect_output 'generation = 1' "show after a dry run"

# Edits of different records with the same base merge.
operator apply --base 1 --author ana --change second
expect_status 0 "ana's edit"
cp "$TABLES/routes.ini" "$WORK/tables/routes.ini"
sed -i 's/time_limit = 5s/time_limit = 7s/' "$WORK/tables/routes.ini"
operator apply --base 1 --author branko --change third
expect_status 0 "branko's edit of another record"
operator show
expect_output 'time_limit = 30s' "the merged tables"
expect_output 'time_limit = 7s' "the merged tables"

# Edits of the same record conflict: both versions are shown, nothing is
# written.
cp "$TABLES/routes.ini" "$WORK/tables/routes.ini"
sed -i 's/time_limit = 20s/time_limit = 25s/' "$WORK/tables/routes.ini"
operator apply --base 1 --author branko --change fourth
expect_status 1 "a conflict"
expect_output 'routes \[raspored-write\] was edited by two operators' \
    "a conflict"
expect_output 'time_limit = 30s' "a conflict"
expect_output 'time_limit = 25s' "a conflict"

# One operator deletes a pool and its routes while another adds a route to it.
# The edits are of different records, but the merged tables would be wrong.
export_tables
cp -r "$WORK/tables" "$WORK/branko"
printf '\n[parts]\npaths = /parts\npool = raspored\nclass = plain\n' \
    >>"$WORK/tables/routes.ini"
operator apply --author ana --change fifth
expect_status 0 "a route to a pool"
awk '/^\[/ { skip = /^\[raspored/ } !skip || /^#/' \
    "$WORK/branko/routes.ini" >"$WORK/tables/routes.ini"
awk '/^\[/ { skip = /^\[raspored/ } !skip || /^#/' \
    "$WORK/branko/pools.ini" >"$WORK/tables/pools.ini"
operator apply --author branko --change sixth
expect_status 1 "a pool removed under a route"
expect_output 'there is no pool \[raspored\]' "a pool removed under a route"

# The audit trail has each change's author, time and records, and the refusals.
operator history
expect_output 'ana accepted as generation 1, from 0, change first' "history"
expect_output 'branko refused, from 1, change fourth: conflict' "history"
expect_output 'branko refused, from 3, change sixth: the merged tables' \
    "history"
expect_output 'routes \[raspored-write\] changed' "history"
operator history --change never
expect_status 1 "history of a change that was never made"
operator history --json
expect "lines of history" "$(wc -l <"$WORK/out")" 6

# The status names processes that can't be reached.
operator status
expect_status 0 "status"
signal STOP raspored-2
operator status
expect_status 5 "status with a suspended agent"
expect_output "agent raspored-2 can't be reached" "status"
signal CONT raspored-2

# Ten operators each add a record at the same time: all edits are accepted and
# none is lost.
export_tables
for n in 0 1 2 3 4 5 6 7 8 9; do
    cp -r "$WORK/tables" "$WORK/tables-$n"
    printf '[extra-%d]\npaths = /extra/%d\npool = raspored\nclass = plain\n' \
        "$n" "$n" >>"$WORK/tables-$n/routes.ini"
    start "operator-$n" sh -c "cd '$WORK/tables-$n' &&
        exec '$BIN/dandelionfork' apply --base 4 --change extra-$n \
        --timeout 0s --store $STORE_ADDRESS"
done
for n in 0 1 2 3 4 5 6 7 8 9; do
    reap "operator-$n" || fail "operator-$n ended with $?"
done
operator show
expect_output 'generation = 14' "ten operators at once"
expect "records of ten operators" "$(grep -c '^\[extra-' "$WORK/out")" 10
operator history
expect "accepted lines" "$(grep -c ' accepted as ' "$WORK/out")" 14
