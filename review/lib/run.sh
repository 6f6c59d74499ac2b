# Sourced by the cases: runs the case's program for 120 s at most, with the
# record beside the script. Exit codes: 0 the rule held, 1 it was broken, 2 the
# case could not run.
number=$(basename "$here")
export RECORD="$here/record.txt"
cd "$here/../.."
if [ ! -x "target/review/case-$number" ]; then
    echo "target/review/case-$number is missing: run review/build.sh" >&2
    exit 2
fi
code=0
timeout --kill-after=2 116 "target/review/case-$number" || code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
