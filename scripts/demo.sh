#!/bin/sh
# Demonstrates the whole system on loopback: two failure domains, 200 relayed
# calls, jobs with 1, 8 and 16 accelerators, and one domain taken out of service
# and back. Compares the responses to the callers with the stand-ins' records.
set -eu
cd "$(dirname "$0")/.."
BUILD=${1:-build}
OUT=demo-output
mkdir -p "$OUT"
. scripts/lib.sh
. scripts/cluster.sh
trap stop_all EXIT
failures=0

check() { # description command...
    text=$1
    shift
    if "$@"; then
        echo "  ok    $text"
    else
        echo "  WRONG $text"
        failures=$((failures + 1))
    fi
}

job_id() { # file with the output of submit
    sed -n 's/.*"job_id":"\([^"]*\)".*/\1/p' "$1"
}

submit() { # name tasks accelerators run-ms
    client submit --id="$1" --tasks="$2" --accelerators="$3" --cores=2 \
        --payload="run_ms=$4" --run-ms="$4" --output=json >"$OUT/$1.json"
    job_id "$OUT/$1.json"
}

state_of() { # job
    client status "$1" --output=json | sed 's/.*"state":"\([A-Z_]*\)".*/\1/'
}

is_finished() { # job
    [ "$(state_of "$1")" = JOB_FINISHED ]
}

starts_in() { # domain-number job: prints the number of its starts
    record "127.0.0.10:710$1" | grep -c " start job=$2 " || true
}

started() { # job
    [ $(($(starts_in 1 "$1") + $(starts_in 2 "$1"))) -gt 0 ]
}

wait_idle_of() { # seconds job...: waits until each job has finished
    limit=$1
    shift
    for job in "$@"; do
        wait_for "$limit" is_finished "$job"
    done
}

begin=$(date +%s%N)
echo "Starting the stand-ins and eight daemons in two failure domains."
start_cluster
wait_for 10 operator account put greens --account-key=$ACCOUNT_KEY \
    --guarantee=d1:8:2 --guarantee=d2:8:2 --timeout-ms=2000
for ip in 11 12 21 22; do
    wait_for 10 http_ok "http://127.0.0.$ip:7101/readyz"
done
echo "All gates are ready after $((($(date +%s%N) - begin) / 1000000)) ms."

echo "Relaying 200 calls, a quarter of them not repeatable."
called=0
i=0
while [ $i -lt 200 ]; do
    flag=""
    # A gate refuses a non-repeatable call with an unknown outcome if its id was
    # created before the gate's start plus the tolerated clock skew. /readyz
    # succeeds only after that time, so that no call here is refused.
    [ $((i % 4)) = 3 ] && flag=--not-repeatable
    if [ "$(client call --id="call-$i" --body="field-$i" $flag \
        --timeout-ms=5000 --output=json 2>>"$OUT/calls.err" |
        grep -c "\"body\":\"field-$i\"")" = 1 ]; then
        called=$((called + 1))
    fi
    i=$((i + 1))
done
record 127.0.0.10:7210 >"$OUT/backend1.txt"
record 127.0.0.10:7220 >"$OUT/backend2.txt"
served=$(cat "$OUT"/backend[12].txt | grep -c " served request=call-")
distinct=$(cat "$OUT"/backend[12].txt | grep " served request=call-" |
    sed 's/.*request=\([^ ]*\).*/\1/' | sort -u | wc -l)
echo "  responses with the caller's own body: $called of 200; requests served" \
    "$served, distinct $distinct"
check "every call returned its own body" [ "$called" = 200 ]
check "every call served exactly once" [ "$served" = 200 -a "$distinct" = 200 ]

echo "Submitting jobs with 1, 8 and 16 accelerators."
small=$(submit gang-1 1 1 400)
medium=$(submit gang-8 1 8 400)
large=$(submit gang-16 2 8 400)
again=$(submit gang-16 2 8 400)
check "a repeated submission returns the same job" [ "$large" = "$again" ]
wait_idle_of 10 "$small" "$medium" "$large"
check "the job with 1 accelerator started once" \
    [ "$(starts_in 1 "$small")" = 1 -o "$(starts_in 2 "$small")" = 1 ]
starts=$(($(starts_in 1 "$large") + $(starts_in 2 "$large")))
check "the job with 16 accelerators started on two workers" [ "$starts" = 2 ]

echo "Taking domain d1 out of service while jobs run there, and back."
jobs=""
for n in 1 2 3 4; do
    jobs="$jobs $(submit "move-$n" 1 8 3000)"
done
for job in $jobs; do
    wait_for 5 started "$job"
done
before=$(date +%s%N)
operator domain out d1 --output=json >"$OUT/out.json"
echo "  accepted after $((($(date +%s%N) - before) / 1000000)) ms:" \
    "$(grep -c '"accepted":true' "$OUT/out.json" || true) of 1"
out_at=$(record 127.0.0.10:7101 | tail -1 | cut -d' ' -f1)
check "the change was accepted in all domains" grep -q '"accepted":true' \
    "$OUT/out.json"
late=$(submit late-1 1 8 300)
wait_idle_of 15 $jobs "$late"
record 127.0.0.10:7101 >"$OUT/workers1.txt"
record 127.0.0.10:7102 >"$OUT/workers2.txt"
late_starts=$(awk -v at="$out_at" '$2 == "start" && $1 > at' \
    "$OUT/workers1.txt" | wc -l)
check "no job started in d1 while it was out of service" [ "$late_starts" = 0 ]
check "the jobs that ran in d1 were stopped there" \
    [ "$(grep -c ' why=stopped' "$OUT/workers1.txt")" -ge 4 ]
check "the job submitted meanwhile ran in d2" [ "$(starts_in 2 "$late")" = 1 ]
operator domain in d1 --output=json >"$OUT/in.json"
back=$(submit back-1 2 8 300)
wait_idle_of 10 "$back"
check "a job finishes after d1 is back in service" is_finished "$back"

record 127.0.0.10:7101 >"$OUT/workers1.txt"
record 127.0.0.10:7102 >"$OUT/workers2.txt"
running=$(cat "$OUT"/workers[12].txt | awk '
    $2 == "start" {open[$3 $4 $5]++}
    $2 == "end" {open[$3 $4 $5]--}
    END {for (k in open) if (open[k] != 0) n++; print n + 0}')
check "no task is still running" [ "$running" = 0 ]
echo "Statistics: $(grep -c ' start ' "$OUT/workers1.txt") starts in d1," \
    "$(grep -c ' start ' "$OUT/workers2.txt") in d2;" \
    "call p99 $(curl -sf http://127.0.0.11:7101/metrics |
        sed -n 's/^# sr_call_seconds greens p99 //p')"

echo "Stopping the gates gracefully."
gate_pids="$PID_g11 $PID_g12 $PID_g21 $PID_g22"
for pid in $gate_pids; do
    kill -TERM "$pid"
done
for pid in $gate_pids; do
    code=0
    wait "$pid" || code=$?
    check "gate $pid exits with 0" [ "$code" = 0 ]
done
echo "Took $((($(date +%s%N) - begin) / 1000000)) ms; $failures mismatches."
[ "$failures" = 0 ]
