#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2/.
# Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in late lasting rack waiting silence; do
    cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-format-truncation \
        -o "target/review-2/$name" \
        "review/lib2/$name.c" review/lib2/platform.c \
        $(pkg-config --cflags --libs jansson) -lpthread
done
