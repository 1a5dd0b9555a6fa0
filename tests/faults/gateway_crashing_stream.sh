# Guards against one streamed request that ends every engine that runs it, before
# the first event or after it: it is refused, and not what it shares with others.
CRASH='path=/stream/x&body=bad'
. "$(dirname "$0")/lib/crashing.sh"
SLOTS="3 4 5 6 7"
start_crashing_deployment
parts=(-H 'Token-Usage: 1000,40' -H 'Prompt-Prefix: aa01:40,bb01:500,ff:460')

expect_few_crashes /stream/x bad /stream/x sound
crash_on /stream/y bad
expect_few_crashes /stream/y bad /stream/y sound "${parts[@]}"
crash_on /stream/z bad 2
expect_few_crashes /stream/z bad /stream/z sound "${parts[@]}"
