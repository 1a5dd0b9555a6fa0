# Guards against a change that is accepted and said to be in force everywhere,
# but never is: the platform's store has come back from an older copy of itself,
# and the change got a generation that the processes already have with other
# tables.
. "$(dirname "$0")/lib/operator.sh"
start_platform
copy_tables
start_plain plain-1 7111
write_agent_settings raspored-1 7211 plain-1 split-a
publish_instances
start_agent raspored-1
operator apply --author ana --change first
expect_status 0 "the first apply"
start_entry entry-1 7301 split-a
platform_control entries -d "[$(instance_json entry-1 split-a passing)]"

# add_route NAME: applies a change that adds a route for /NAME.
add_route() {
    export_tables
    printf '\n[%s]\npaths = /%s\npool = raspored\nclass = plain\n%s\n' \
        "$1" "$1" 'repeatable = yes' >"$WORK/route"
    cat "$WORK/route" >>"$WORK/tables/routes.ini"
    operator apply --author ana --change "$1"
    expect_status 0 "apply of $1"
}

served() {
    fetch -o /dev/null -w '%{http_code}' "$ENTRY/$1"
}

platform_control copy
add_route lost
expect "request on the route that the copy lacks" "$(served lost)" 200
platform_control restore
operator status
expect_output 'has generation 2, which the store lacks' "status"

# The new change has a later generation than the lost one, so that it is taken.
add_route added
expect_output 'generation 2 was in force' "apply"
expect_output 'accepted as generation 3, change added' "apply"
expect_output 'in force at 2 of 2 processes' "apply"
expect "request on the added route" "$(served added)" 200
expect "request on the lost route, which the tables lack now" \
    "$(served lost)" 404

# The lost change is applied again, under its id.
add_route lost
expect "request on the route that was applied again" "$(served lost)" 200
