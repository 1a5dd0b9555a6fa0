#!/usr/bin/env bash
# with_address.sh ADDRESS COMMAND...: runs the command with the options --ip
# and a loopback address that no other test run on this machine uses.
set -eu
. "$(dirname "$0")/address.sh"
take_address "$1"
shift
exec "$@" --ip "$IP"
