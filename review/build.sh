#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review/.
# Run it after the build of the deploy file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
libraries=$(pkg-config --cflags --libs jansson libmicrohttpd libcurl libzmq \
    libprotobuf-c gsl libxxhash libsodium)
for source in review/[0-9]*/case.c; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    # shellcheck disable=SC2086
    cc -std=gnu11 -O2 -g -Wall -Wextra -fno-strict-aliasing -D_GNU_SOURCE \
        -Isrc -Isrc/gen -Iinclude -Iplatform -Ireview/lib \
        "$source" review/lib/rig.c target/libsr_core.a target/libsr_gen.a \
        $libraries -lev -lm -o "target/review/case-$number"
done
