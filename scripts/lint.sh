#!/bin/sh
# Checks the formatting of all sources except generated code, and lints them.
set -eu
cd "$(dirname "$0")/.."
BUILD=${1:-build}
files=$(ls src/*.c src/*.h platform/*.c platform/*.h platform/standin/*.c platform/standin/*.h include/*.h standin/*.c standin/*.h tests/*.c \
    tests/*.h bench/*.c bench/*.h examples/*.c 2>/dev/null || true)
clang-format --dry-run -Werror $files
sources=$(printf '%s\n' $files | grep '\.c$')
# One process for each file: the va_list checker of clang-tidy 14 compares
# identifiers of a file with pointers that it kept from an earlier file of the
# same process, and so sometimes mistakes another function for va_start.
# The output of each process is filtered by itself, since the lines of several
# processes can mix.
printf '%s\n' $sources |
    xargs -P 6 -n 1 sh -c 'clang-tidy -quiet -p "$0" "$1" 2>&1 |
        grep -v "warnings\? generated\|Suppressed\|Use -header-filter\|^$"' \
        "$BUILD" | grep . && exit 1
sh -n scripts/*.sh
echo "lint: clean"
