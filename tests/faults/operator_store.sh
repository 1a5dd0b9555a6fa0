# The store fails during an operator's edit: the response to a write is lost,
# the store is down, or the operator's process is killed. The edit is accepted
# once or not at all, and the command reports which.
. "$(dirname "$0")/lib/operator.sh"
start_platform
copy_tables

operator apply --change first --timeout 0s
expect_status 0 "the first apply"

# The responses to the first one, two or three writes of an edit are lost: to
# that of the change's tables, of the head and of the audit trail. The edit is
# accepted once.
for lost in 1 2 3; do
    sed -i "s/time_limit = 20s.*/time_limit = 20s/;
        s/^time_limit = 5s.*/time_limit = 5s/" "$WORK/tables/routes.ini"
    sed "s/time_limit = 5s/time_limit = ${lost}1s/" "$TABLES/routes.ini" \
        >"$WORK/tables/routes.ini"
    platform_control "lose?writes=$lost"
    operator apply --base "$lost" --change "lost-$lost" --timeout 0s
    expect_status 0 "with $lost responses lost"
    expect_output "accepted as generation $((lost + 1))" \
        "with $lost responses lost"
done
operator history
expect "accepted lines" "$(grep -c ' accepted as ' "$WORK/out")" 4

# While the store is down nothing is written, and the command reports that.
platform_control "down?on=1"
sed "s/time_limit = 5s/time_limit = 8s/" "$TABLES/routes.ini" \
    >"$WORK/tables/routes.ini"
operator apply --base 4 --change down --timeout 0s
expect_status 3 "with the store down"
operator show
expect_status 3 "show with the store down"
platform_control "down?on=0"
operator history --change down
expect_status 1 "history of a change that was not written"

# history_matches_tables CHANGE LINE: whether the trail has the change exactly
# if the tables in force have its line.
history_matches_tables() {
    local in_history in_force=1
    operator history --change "$1"
    in_history=$STATUS
    operator show
    grep -q "$2" "$WORK/out" && in_force=0
    [ "$in_history" = "$in_force" ]
}

# An operator's process is killed at different moments: afterwards the change
# is either accepted with its line in the trail, or missing from both.
for n in 1 2 3 4 5 6 7 8; do
    operator show
    generation=$(sed -n 's/^# generation = //p' "$WORK/out")
    sed "s/time_limit = 5s/time_limit = 5${n}s/" "$TABLES/routes.ini" \
        >"$WORK/tables/routes.ini"
    platform_control "slow?ms=$((n % 4 * 2))"
    start killed sh -c "cd '$WORK/tables' && exec '$BIN/dandelionfork' \
        apply --base $generation --change killed-$n --timeout 0s \
        --store $STORE_ADDRESS"
    calls=0
    while [ "$calls" -lt "$n" ]; do
        calls=$((calls + 1))
        fetch "http://$STORE_ADDRESS/control/calls" >/dev/null
    done
    kill_and_reap killed
    platform_control "slow?ms=0"
    # A write in transit may still take effect; then both have the change.
    wait_until history_matches_tables "killed-$n" "time_limit = 5${n}s"
done
