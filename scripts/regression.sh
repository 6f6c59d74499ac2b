#!/bin/sh
# Plays the users' deployments on their bench and prints the score and the gate
# of each; fails if a gate is not passed. The oldest deployments come last, and
# are left out unless ALL=1.
#
#     FLEETBENCH=PROGRAM SITES=FOLDER scripts/regression.sh WHY [OPTION...]
#
# WHY goes into the journal; further options (--no-cpu, --quick) go to the bench.
set -u
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?the program of the bench}" "${SITES:?the folder of the site files}"
why=${1:?why the deployments are played}
shift
sites="large/jandi-relay-large grown/jandi-relay-grown grown/rak-ipoh-grown"
[ "${ALL:-0}" = 1 ] && sites="$sites sites/jandi-relay sites/rak-ipoh"
out=$(mktemp)
failed=0
for site in $sites; do
    echo "# $site"
    "$FLEETBENCH" score "$SITES/$site.toml" --jobs "${JOBS:-3}" --why "$why" \
        "$@" >"$out" 2>&1
    grep -E '^score on|BROKEN|^GATE' "$out"
    grep -E '^(quiet|trouble|scale|fresh)-' "$out" | cut -c1-90
    grep -q '^GATE passed' "$out" || failed=1
done
rm -f "$out"
exit "$failed"
