# Shell functions that start processes on loopback, wait for them and terminate
# them by pid.

PIDS=""
DAEMON_PIDS=""

start() { # name command...
    name=$1
    shift
    "$@" 2>"$OUT/$name.log" &
    PIDS="$PIDS $!"
    eval "PID_$(echo "$name" | tr - _)=$!"
}

pid_of() { # name
    eval "echo \$PID_$(echo "$1" | tr - _)"
}

stop_pids() { # pid...
    for pid in "$@"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "$@"; do
        wait "$pid" 2>/dev/null || true
    done
}

# Stops the daemons before the stand-ins, so that leaders can release their
# leadership in the store.
stop_all() {
    stop_pids $DAEMON_PIDS
    stop_pids $PIDS
    DAEMON_PIDS=""
    PIDS=""
}

wait_for() { # seconds command...: waits until the command succeeds
    tries=$(($1 * 20))
    shift
    while [ "$tries" -gt 0 ]; do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        tries=$((tries - 1))
        sleep 0.05
    done
    echo "timed out waiting for: $*" >&2
    return 1
}

http_ok() { # url
    curl -sf --noproxy '*' -o /dev/null "$1"
}

metric() { # address name: prints the first value of a metric
    curl -sf --noproxy '*' "http://$1/metrics" |
        awk -v n="$2" '$1 == n || index($1, n "{") == 1 {print $2; exit}'
}

record() { # address
    curl -sf --noproxy '*' "http://$1/record"
}
