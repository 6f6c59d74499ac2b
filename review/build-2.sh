#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2/.
# Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/lib2/*.c; do
    name=$(basename "$source" .c)
    if [ "$name" = platform ]; then
        continue
    fi
    cc -std=gnu11 -O2 -Wall -Wextra -Werror -Wno-format-truncation -D_GNU_SOURCE -o "target/review-2/$name" \
        "$source" review/lib2/platform.c \
        $(pkg-config --cflags --libs jansson) -lpthread
done
