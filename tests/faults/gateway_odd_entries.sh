# Guards against entries of another writer that take a worker out of use, take
# back that it is draining, send requests to a worker of another service, or
# stop gateways that read them.
. "$(dirname "$0")/lib/gateways.sh"
BORN=1790000000000
start_deployment
key=(-H 'Credential: key-1')

# applied: both gateways have applied everything that is in the store.
applied() {
    local newest n
    newest=$(fetch -X PUT "$STORE_URL/control/revision" | json_field revision)
    for n in 1 2; do
        [ "$(gateway_metric $n store_revision)" -ge "$newest" ] || return 1
    done
}

# entry NUMBER [FIELDS]: an entry of a plain worker that begins with FIELDS.
entry() {
    echo "{${2:-}\"service\":\"plain\",\"address\":\"$IP:740$1\",
        \"zone\":\"here\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",
        \"cold_remaining_ms\":0,\"born\":$BORN,\"sequence\":1}"
}

# without FIELD: removes a field of an entry, or all that have the text.
without() {
    sed -E "s/\"$1\":(\"[^\"]*\"|[0-9]+),?//; s/,}$/}/"
}

# write_odd NUMBER: writes the entry on standard input for the worker.
write_odd() {
    store_control "put?key=servers/worker-$1" --data-binary @-
}

# check_workers: sends requests to both gateways. Worker 1 is draining, worker 2
# alone serves, and workers 3 and 4 are of another service.
check_workers() {
    local gateway n
    wait_until applied
    for gateway in "$GATEWAY" "$GATEWAY2"; do
        for n in 1 2 3; do
            expect "request after $1" \
                "$(call "$gateway" /plain/x "${key[@]}")" 200
        done
    done
    expect "runs after $1" "$(worker_stat 1 runs) $(worker_stat 3 runs)" "$runs"
}

register 1 draining "$BORN"
register 2 ready "$BORN"
wait_log gateway-1 'endpoint=worker-1 state=leaving'
wait_log gateway-2 'endpoint=worker-1 state=leaving'
wait_until applied
runs="$(worker_stat 1 runs) $(worker_stat 3 runs)"

# Each field is missing, for a draining worker, a ready one, one of another
# service, and one that has no other entry.
for field in service address zone version slots state cold_remaining_ms \
    sequence born; do
    entry 1 | without $field | write_odd 1
    entry 9 | without $field | write_odd 2
    [ $field = born ] || entry 9 | without $field | write_odd 9
    entry 3 | without born | without $field | without sequence | write_odd 3
    check_workers "an entry without $field"
done

# Values out of their range, of another type, and twice.
for change in 's/:740[0-9]/:0/' 's/:740[0-9]/:70000/' 's/:740[0-9]//' \
    's/"address":"[0-9.]+/"address":"host/' 's/"slots":4/"slots":0/' \
    's/"slots":4/"slots":1e400/' 's/"slots":4/"slots":99999999999999999999/' \
    's/"slots":4/"slots":"4"/' 's/"ready"/"odd"/' 's/"ready"/7/' \
    's/"cold_remaining_ms":0/"cold_remaining_ms":-1/' \
    's/"sequence":1/"sequence":1e400/' 's/"born":[0-9]+/"born":1e300/' \
    's/"born":[0-9]+/"born":"now"/' 's/"service":"plain"/"service":"other"/' \
    's/\}/,"state":"ready"}/' 's/\}//' 's/"here"/"he\x00re"/'; do
    for n in 1 2; do
        entry $n | sed -E "$change" | write_odd $n
    done
    check_workers "an entry changed by $change"
done

# Values of almost a megabyte: nested, and with a long text.
{
    printf '{"a":'
    head -c 500000 /dev/zero | tr '\0' '['
} >"$WORK/nested"
{
    printf '['
    head -c 480000 /dev/zero | tr '\0' '['
    head -c 480001 /dev/zero | tr '\0' ']'
} >"$WORK/balanced"
{
    printf '{"more":"'
    head -c 900000 /dev/zero | tr '\0' 'x'
    entry 1 | sed '1s/{/",/'
} >"$WORK/long"
printf '' >"$WORK/empty"
head -c 3000 /dev/zero >"$WORK/zeros"
for file in nested balanced long empty zeros; do
    for n in 1 2 9; do
        write_odd $n <"$WORK/$file"
    done
    check_workers "an entry of $(wc -c <"$WORK/$file") bytes"
done
for id in '' 'a%20b' 'a%0d%0aHost:%20b'; do
    entry 9 | store_control "put?key=servers/$id" --data-binary @-
done
check_workers "entries without a usable id"

# Registrations of gateways: they count as none, and replace none.
for value in '' odd "$IP:0" "$IP:70000"; do
    store_control 'put?key=dandelionfork/gateways/odd' -d "$value"
    store_control 'put?key=dandelionfork/gateways/gateway-2' -d "$value"
    store_control "put?key=dandelionfork/capacities/$IP:7532" -d "$value"
    store_control 'put?key=dandelionfork/crashes/odd' -d "$value"
done
configure ""
wait_until version_in_force 1 "$VERSION"
wait_until version_in_force 2 "$VERSION"
check_workers "odd items of gateways"
for n in 1 2; do
    gateway_count_is $n 2 || fail "gateway-$n does not know two gateways"
    [ "$(gateway_metric $n refused_items_total)" -gt 0 ] ||
        fail "gateway-$n counts no refused item"
done

# A gateway that starts reads only the odd entries, and the workers' own ones
# when they are written again.
kill_and_reap gateway-1
rm "$WORK/gateway-1.log"
start_gateway 1
register 2 ready "$BORN"
wait_log gateway-1 'endpoint=worker-2 state=ready'
check_workers "the start of a gateway"

# The removal of an odd entry is that of the worker.
entry 2 | without zone | write_odd 2
register 1 ready "$BORN"
store_control 'remove?key=servers/worker-2'
wait_log gateway-1 'endpoint=worker-2 state=gone'
wait_log gateway-2 'endpoint=worker-2 state=gone'
wait_log gateway-2 'endpoint=worker-1 state=ready'
wait_until applied
before=$(worker_stat 2 runs)
send_many 5
expect "runs after the removal" "$(worker_stat 2 runs)" "$before"
