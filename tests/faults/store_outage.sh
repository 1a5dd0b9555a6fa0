# While the platform is down, requests are served, a restarted agent gets its
# configuration from an entry, and a new entry from an agent. When the platform
# is back with an older generation, the entry does not put it in force.
. "$(dirname "$0")/lib/fleet.sh"
start_fleet
fetch -d '{"warm":1}' "$ENTRY/raspored/visits" >/dev/null
apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"
wait_log entry-1 "configuration in force generation=2"
wait_log raspored-1 "configuration in force generation=2"
platform_control "down?on=1"
wait_log entry-1 "the platform does not answer"

prompt 2000 2 >"$WORK/prompt"
for i in 1 2 3; do
    fetch -d @"$WORK/prompt" -D "$WORK/out.head" -o /dev/null \
        "$ENTRY/v1/completions"
    expect "prompt in an outage" "$(status_of out)" 200
    fetch -d "{\"visit\":$i}" -D "$WORK/out.head" -o /dev/null \
        "$ENTRY/raspored/visits"
    expect "booking in an outage" "$(status_of out)" 200
done

for n in 1 2; do
    kill_and_reap "raspored-$n"
    start_agent "raspored-$n"
done
booking_succeeds() {
    [ "$(curl -s -d '{"visit":9}' -o /dev/null -w '%{http_code}' \
        "$ENTRY/raspored/visits")" = 200 ]
}
wait_until booking_succeeds
grep -q "generation=2 source=entry" "$WORK"/raspored-*.log ||
    fail "no agent took its configuration from an entry"

# An entry that starts during the outage finds agents by its seeds.
cat >"$WORK/entry-3.ini" <<END
[entry]
instance = entry-3
data_centre = split-a
listen = $IP:7303
seeds = $IP:7201; $IP:7211; $IP:7212
[platform]
store = $IP:${PORTS[platform]}
END
start entry-3 "$BIN/dandelionfork-entry" --settings "$WORK/entry-3.ini"
entry_3_serves() {
    [ "$(curl -s -d '{"visit":10}' -o /dev/null -w '%{http_code}' \
        "http://$IP:7303/raspored/visits")" = 200 ]
}
wait_until entry_3_serves
fetch -d @"$WORK/prompt" -D "$WORK/seed.head" -o /dev/null \
    "http://$IP:7303/v1/completions"
expect "prompt through an agent of the seeds" "$(status_of seed)" 200
grep -q "generation=2 source=agent" "$WORK/entry-3.log" ||
    fail "the new entry did not take its configuration from an agent"

# The restored platform has only an old generation.
platform_control "down?on=0"
wait_log entry-1 "the platform answers"
GENERATION=0
apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"
GENERATION=2
apply_tables "$TABLES/routes.ini" "$TABLES/pools.ini"
wait_log entry-1 "configuration in force generation=3"
[ "$(grep -c 'configuration in force' "$WORK/entry-1.log")" = 3 ] ||
    fail "the entry put another generation in force"
