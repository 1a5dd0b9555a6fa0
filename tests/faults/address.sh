# Two test runs that prefer one loopback address get different ones. An address
# stays taken while a process of its run lives, also after the run itself was
# killed.
. "$(dirname "$0")/../cluster.sh"
cd "$(dirname "$0")/../.."

# The runs of this test keep their locks in a folder of their own.
export TMPDIR=$WORK
run='. tests/address.sh; take_address "$0"; echo "$IP"; exec sleep 1000'

# start_run NAME: starts a process of a run that has taken an address.
start_run() {
    start "$1" bash -c "$run" 127.77.1.1
    wait_log "$1" 127
}

# address_of NAME: prints the address that the run has taken.
address_of() { head -n 1 "$WORK/$1.log"; }

start_run first
[ "$(address_of first)" = 127.77.1.1 ] || fail "the first run has another one"
start_run second
[ "$(address_of second)" != 127.77.1.1 ] || fail "two runs have one address"
kill_and_reap first
start_run third
[ "$(address_of third)" = 127.77.1.1 ] ||
    fail "the address is taken although its run's processes have ended"
