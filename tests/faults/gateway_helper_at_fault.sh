# Guards against a prompt that fails since a helper is at fault: the refusal names
# it, and the prompt is sent again without it, also to the same engine.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
start_worker 5
register 5
wait_log gateway-1 'endpoint changed endpoint=worker-5 state=ready'

# Each prompt needs the memory of two engines, and may be sent to two.
# ask NUMBER
ask() {
    call "$GATEWAY" /stream/x -d "prompt $1" -H 'Token-Usage: 420000,100'
}

# helper_of NUMBER: prints the port of the helper that the last request to the
# worker named, if there was one.
helper_of() {
    worker_stat "$1" last | sed -n 's/.*|[0-9.]*:\([0-9]*\)\/.*/\1/p'
}

# The gateway's preferred engine helps from now on no more, and is full.
expect "the first prompt" "$(ask 0)" 200
port=$(helper_of 3)$(helper_of 4)$(helper_of 5)
for n in 3 4 5; do
    worker_control "$n" "helper?address=$IP:$port"
done
worker_control "${port#740}" 'full?on=1'
for n in $(seq 1 10); do
    expect "prompt $n" "$(ask "$n")" 200
done
wait_log gateway-1 'attempt ended .*refused by the endpoint'
