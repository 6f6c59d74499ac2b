# Shell functions that start the stand-ins and the daemons of two failure
# domains on loopback. Each domain has two addresses, with a gate and a
# scheduler on each. Before sourcing this file, source scripts/lib.sh and set
# $BUILD and $OUT.

PLATFORM=127.0.0.10:7000
OPERATOR_KEY=demo-operator-key
ACCOUNT_KEY=demo-account-key
PEERS=""
for d in 1 2; do
    for v in 1 2; do
        ip=127.0.0.$d$v
        PEERS="$PEERS,g$d$v/gate/d$d/r1/$ip:7102,s$d$v/scheduler/d$d/r1/$ip:7202"
    done
done
PEERS=${PEERS#,}
GATES=127.0.0.11:7101,127.0.0.12:7101,127.0.0.21:7101,127.0.0.22:7101
WORKERS_PER_DOMAIN=${WORKERS_PER_DOMAIN:-8}

export SASSAFRASRELAY_PEERS=$PEERS
export SASSAFRASRELAY_PLATFORM=$PLATFORM
export SASSAFRASRELAY_REGION=r1
export SASSAFRASRELAY_BUS_SECRET=demo-bus-secret-not-for-production
SASSAFRASRELAY_OPERATOR_KEY_HASH=$("$BUILD/sassafrasrelay" hash-key "$OPERATOR_KEY")
export SASSAFRASRELAY_OPERATOR_KEY_HASH

start_daemon() { # kind name domain ip port-prefix
    start "$2" "$BUILD/sassafrasrelay" "$1" --name="$2" --domain="$3" \
        --listen="$4:$5"01 --bus-listen="$4:$5"02
    DAEMON_PIDS="$DAEMON_PIDS $!"
}

start_cluster() {
    start platform "$BUILD/standin" platform --listen=$PLATFORM
    wait_for 5 http_ok http://$PLATFORM/record
    for d in 1 2; do
        start "workers$d" "$BUILD/standin" workers --platform=$PLATFORM \
            --listen=127.0.0.10:710$d --domain=d$d --prefix=d$d \
            --count="$WORKERS_PER_DOMAIN"
        start "backend$d" "$BUILD/standin" backend --platform=$PLATFORM \
            --listen=127.0.0.10:72${d}0 --domain=d$d --prefix=d$d \
            --count=4 --slots=8 --service-ms=5
        wait_for 5 http_ok http://127.0.0.10:710$d/record
        wait_for 5 http_ok http://127.0.0.10:72${d}0/record
    done
    for d in 1 2; do
        for v in 1 2; do
            start_daemon scheduler s$d$v d$d 127.0.0.$d$v 72
            start_daemon gate g$d$v d$d 127.0.0.$d$v 71
        done
    done
}

operator() { # command...
    "$BUILD/sassafrasrelay" "$@" --gates="$GATES" --name=operator \
        --key=$OPERATOR_KEY
}

client() { # command...
    "$BUILD/sassafrasrelay" "$@" --gates="$GATES" --name=greens \
        --key=$ACCOUNT_KEY
}
