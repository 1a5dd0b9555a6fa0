# The store fails under an operator: a reply lost after its write, an outage in
# the middle, the operator's process killed. An edit is accepted once or not
# at all, and the command's word is true.
. "$(dirname "$0")/lib/operator.sh"
start_platform
use_tables

operator apply --change first --timeout 0s
wanted 0 "the first apply"

# Every write's reply is lost in turn: the tables of the change, then the head,
# then the trail. The edit is accepted once.
for lost in 1 2 3; do
    sed -i "s/time_limit = 20s.*/time_limit = 20s/;
        s/^time_limit = 5s.*/time_limit = 5s/" "$WORK/tables/routes.ini"
    sed "s/time_limit = 5s/time_limit = ${lost}1s/" "$TABLES/routes.ini" \
        >"$WORK/tables/routes.ini"
    platform_control "lose?writes=$lost"
    operator apply --base "$lost" --change "lost-$lost" --timeout 0s
    wanted 0 "with $lost replies lost"
    said "accepted as generation $((lost + 1))" "with $lost replies lost"
done
operator history
expect "accepted lines" "$(grep -c ' accepted as ' "$WORK/out")" 4

# The store is down: nothing is written, and the word says so.
platform_control "down?on=1"
sed "s/time_limit = 5s/time_limit = 8s/" "$TABLES/routes.ini" \
    >"$WORK/tables/routes.ini"
operator apply --base 4 --change down --timeout 0s
wanted 3 "with the store down"
operator show
wanted 3 "show with the store down"
platform_control "down?on=0"
operator history --change down
wanted 1 "history of a change that was not written"

# history_agrees CHANGE LINE: the change is in the trail if it is in force.
history_agrees() {
    local in_history in_force=1
    operator history --change "$1"
    in_history=$STATUS
    operator show
    grep -q "$2" "$WORK/out" && in_force=0
    [ "$in_history" = "$in_force" ]
}

# An operator killed at any moment: afterwards the change is accepted whole,
# with its line in the trail, or it is not there at all.
for n in 1 2 3 4 5 6 7 8; do
    operator show
    generation=$(sed -n 's/^# generation = //p' "$WORK/out")
    sed "s/time_limit = 5s/time_limit = 5${n}s/" "$TABLES/routes.ini" \
        >"$WORK/tables/routes.ini"
    platform_control "slow?ms=$((n % 4 * 2))"
    start killed sh -c "cd '$WORK/tables' && exec '$BIN/dandelionfork' \
        apply --base $generation --change killed-$n --timeout 0s \
        --store $STORE"
    calls=0
    while [ "$calls" -lt "$n" ]; do
        calls=$((calls + 1))
        get "http://$STORE/control/calls" >/dev/null
    done
    kill_hard killed
    platform_control "slow?ms=0"
    # A write that was on its way may still arrive; then both tell it.
    wait_until history_agrees "killed-$n" "time_limit = 5${n}s"
done
