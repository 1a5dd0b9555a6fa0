# Guards against requests to a worker that has said in an answer that it is
# leaving, whatever its registration says, until another instance has its id.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment

worker_control 1 'leaving?on=1'
before=$(worker_stat 1 runs)
send_many 40
expect "runs of the leaving worker" "$(worker_stat 1 runs)" $((before + 1))

worker_control 1 'leaving?on=0'
register 1 ready 1790000000000
runs_again() {
    call "$GATEWAY" /plain/x -H 'Credential: key-1' >"$WORK/status"
    [ "$(worker_stat 1 runs)" -gt $((before + 1)) ]
}
wait_until runs_again
