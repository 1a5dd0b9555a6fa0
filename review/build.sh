#!/bin/sh
# Builds the stand-ins and the clients of the cases into target/review/, with
# the packages that deploy/system.toml names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-O1 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -I."
packages="glib-2.0 jansson libmicrohttpd"
cflags=$(pkg-config --cflags $packages)
libs="$(pkg-config --libs $packages) -lpthread"
for name in store; do
    gcc $flags $cflags -o target/review/$name review/standins/$name.c \
        tests/fakes/fake_server.c $libs
done
gcc $flags $cflags -o target/review/fake_worker tests/fakes/fake_worker.c \
    tests/fakes/fake_server.c $libs
for folder in review/[1-5]; do
    if [ -f "$folder/case.c" ]; then
        cc $flags -o "target/review/case-${folder#review/}" "$folder/case.c" \
            review/standins/fleet.c review/standins/slow_callers.c -lpthread
    fi
done
