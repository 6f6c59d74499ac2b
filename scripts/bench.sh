#!/bin/sh
# Runs all benchmarks. Each prints rows "name value unit bound ok|MISS"; the
# last line counts the rows that meet and that miss their bound. The values
# depend on the machine; the bounds come from the capacity target.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
rows=$(mktemp)
for bench in bench_cost bench_exchange bench_plan bench_relay bench_system bench_placement; do
    echo "# $bench"
    "$BUILD/$bench" | tee -a "$rows"
done
echo "# rows ok $(grep -c ' ok$' "$rows"), missed $(grep -c ' MISS$' "$rows")"
rm -f "$rows"
