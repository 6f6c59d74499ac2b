# Sourced by the cases: becomes the case's program, with the record beside the
# script. The program ends by itself within 115 s, and ends its nodes when it is
# ended. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
number=$(basename "$here")
export RECORD="$here/record.txt"
cd "$here/../.."
if [ ! -x "target/review/case-$number" ]; then
    echo "target/review/case-$number is missing: run review/build.sh" >&2
    exit 2
fi
exec "target/review/case-$number"
