#!/bin/bash
# Starts the nodes and their stand-ins, and writes what was sent, answered and
# run to record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/sassafrasrelay ] && [ -x target/review-3/latepoll ] || exit 2
timeout 118 target/review-3/latepoll "$folder/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
