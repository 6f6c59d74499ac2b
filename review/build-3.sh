#!/bin/bash
# Builds the programs of the cases 11 to 15 into target/review-3. They need the
# compiler and libjansson, which the deploy file's build needs too.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in latepoll reclaim crowd apart wave; do
    "${CC:-cc}" -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o "target/review-3/$case" \
        review/lib3/rig.c "review/lib3/$case.c" -ljansson -lpthread
done
