# take_address PREFERRED: sets IP to a loopback address that no other test run
# on this machine uses, 127.A.B.1, where the preferred one is tried first. The
# lock is a file descriptor that the started processes inherit, so an address
# is free again only when all of them have ended.

take_address() {
    local folder=${TMPDIR:-/tmp}/dandelionfork-addresses
    local first=$1 network host offset
    network=$(cut -d. -f2 <<<"$first")
    host=$(cut -d. -f3 <<<"$first")
    mkdir -p "$folder"
    for offset in $(seq 0 199); do
        IP=127.$((50 + (network - 50 + offset) % 200)).$host.1
        exec {ADDRESS_LOCK}>"$folder/$IP"
        if flock -n "$ADDRESS_LOCK"; then
            return 0
        fi
        exec {ADDRESS_LOCK}>&-
    done
    echo "no loopback address is free" >&2
    return 1
}
