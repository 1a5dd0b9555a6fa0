# Requests through a gateway on the users' platform: plain ones, streams, keys,
# accounts, routes, size limits, and the responses that the gateway makes
# itself.
. "$(dirname "$0")/lib/gateways.sh"
start_deployment
key=(-H 'Credential: key-1')

expect "a plain request" "$(call "$GATEWAY" /plain/x "${key[@]}")" 200
grep -q 'worker-[12] GET /plain/x' "$WORK/body" ||
    fail "the response is not from worker-1 or worker-2"
expect "the signature of the response" "$(tr -d '\r' <"$WORK/call.head" |
    sed -n 's/^Response-Signature: //p')" signed
expect "a body in chunks" "$(call "$GATEWAY2" /plain/x "${key[@]}" \
    -H 'Transfer-Encoding: chunked' -d 'some words')" 200
grep -q 'POST /plain/x some words' "$WORK/body" ||
    fail "the worker got another body"

# The worker gets the account of the key, not the one that the caller names,
# and does not get the key.
call "$GATEWAY" /plain/x "${key[@]}" -H 'Tenant: other' >"$WORK/status"
for n in 1 2; do
    case $(worker_stat $n last) in
    'uspon|-|-|-' | '') ;;
    *) fail "worker-$n got $(worker_stat $n last)" ;;
    esac
done

expect "an unknown key" "$(call "$GATEWAY" /plain/x -H 'Credential: k')" 401
expect "no key" "$(call "$GATEWAY" /plain/x)" 401
expect "no route" "$(call "$GATEWAY" /nowhere/ "${key[@]}")" 404
expect "another host" "$(HOST=b.example call "$GATEWAY" /plain/x \
    "${key[@]}")" 404
head -c 70000 /dev/zero >"$WORK/large"
expect "a large body" "$(call "$GATEWAY" /once/x \
    --data-binary "@$WORK/large")" 413

expect "a streamed request" "$(call "$GATEWAY" /stream/x -d prompt \
    -H 'Token-Usage: 1000,400')" 200
expect "events of the stream" "$(grep -c '^data: event' "$WORK/body")" 12

# No worker responds within the route's time limit: the gateway itself responds
# as soon as the limit is over.
worker_control 1 'silent?on=1'
worker_control 2 'silent?on=1'
expect "a request above the route's time limit" \
    "$(call "$GATEWAY" /quick/x)" 504
worker_control 1 'silent?on=0'
worker_control 2 'silent?on=0'

# A full worker does not run the request: the gateway responds with 503 and a
# Retry-After.
worker_control 1 'full?on=1'
worker_control 2 'full?on=1'
expect "full workers" "$(call "$GATEWAY" /once/x -d y)" 503
grep -qi '^Retry-After: ' "$WORK/call.head" ||
    fail "the refusal has no Retry-After"
worker_control 1 'full?on=0'
worker_control 2 'full?on=0'

expect "requests counted as refused" \
    "$(gateway_metric 1 refused_final_total)" 4
wait_log gateway-1 'request ended id=.* outcome=ran status=200'
wait_log gateway-1 'outcome=own-answer status=404 why="no such route"'
