# Guards against one request that ends every worker that runs it: the gateways of
# a deployment together send it to a few workers and then refuse it, and serve
# requests with another body or path, or of another account.
SERVICE=plain
CRASH='path=/plain/x&body=bad'
. "$(dirname "$0")/lib/crashing.sh"
SLOTS="1 2 3 4 5"
ACCOUNTS=',{"name":"other","api_keys":["key-2"]}'
start_crashing_deployment

expect_few_crashes /plain/x bad /plain/x sound
crash_on /none ""
expect "the request of another account" "$(call "$GATEWAY" /plain/x -d bad \
    -H 'Credential: key-2')" 200
expect "the request, to workers that run it by now" \
    "$(repeat "$GATEWAY" /plain/x bad)" 503
expect "the body on another path" "$(repeat "$GATEWAY" /plain/y bad)" 200
expect "the path without a body" "$(repeat "$GATEWAY" /plain/x "")" 200

# Of any kind: one that must run once, and one without a body.
crash_on /once/x bad
expect_few_crashes /once/x bad /once/x sound
crash_on /plain/bad ""
expect_few_crashes /plain/bad "" /plain/x ""

# Gateways that start again know the requests from the store.
before=$CRASHES
kill_and_reap gateway-1
kill_and_reap gateway-2
start_gateway 1
start_gateway 2
expect "the request after a restart of all gateways" \
    "$(repeat "$GATEWAY2" /plain/bad "")" 503
restart_crashed
expect "workers that ended by then" "$CRASHES" "$before"
expect "a sound request after the restart" \
    "$(repeat "$GATEWAY" /plain/x sound)" 200
