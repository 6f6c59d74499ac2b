#!/bin/sh
# Runs all benches; each prints rows "name value unit bound ok|MISS". The last
# line counts them. Figures depend on the machine; bounds come from the target.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
rows=$(mktemp)
for bench in bench_cost bench_relay bench_system bench_placement; do
    echo "# $bench"
    "$BUILD/$bench" | tee -a "$rows"
done
echo "# rows ok $(grep -c ' ok$' "$rows"), missed $(grep -c ' MISS$' "$rows")"
rm -f "$rows"
