/* A worker is lost for good and the leading node is killed at the same time. A
 * task that lasts ran on that worker; seven other workers are idle. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "platform.h"

#define WORKERS 8
/* node_kill: for_s is 3.5 at most. */
#define NODE_DOWN_MS 1000
/* RULES.md, LOST: from 6 s after the task's last run, for 3 s, if these and
 * the 4 s before are calm. */
#define AFTER_LAST_RUN_MS 6000
#define IDLE_MS 3000
#define CALM_MS 4000

static const char id[] = "00000000000a1a57";

int
main(int count, char **args)
{
    char state[64];
    (void)count;
    platform_begin(args[1], WORKERS, 8);
    start_nodes(3);
    submit("/bulk/", id,
           "{\"spec\":\"gpu=2;lasts\",\"steps\":[{\"count\":1,\"cpu\":4000,"
           "\"mem_mb\":4096,\"gpu\":2,\"continuous\":true}]}");
    for (int i = 0; running_of(id) == 0 && i < 100; i++) {
        sleep_ms(100);
    }
    sleep_ms(5000);
    struct worker *w = NULL;
    int leader = leader_index();
    if (leader < 0 || running_of(id) == 0) {
        finish(2, "no leader, or the task does not run");
    }
    pthread_mutex_lock(&lock);
    for (int i = 0; i < WORKERS; i++) {
        w = workers[i].run_count > 0 ? &workers[i] : w;
    }
    if (trouble) {
        worker_crash(w);
    }
    pthread_mutex_unlock(&lock);
    if (trouble) {
        kill_node(leader, SIGKILL);
        sleep_ms(NODE_DOWN_MS);
        restart_node(leader);
    }
    /* No disruption from here on. The lost worker sends nothing any more, and
     * its entry goes after three heartbeat intervals. */
    int64_t calm_since = now_ms(),
            idle_since = now_ms() - (trouble ? NODE_DOWN_MS : 0);
    int64_t idle_most = 0;
    bool dropped = !trouble;
    while (now_ms() - calm_since < 25000) {
        if (!dropped && now_ms() - idle_since > 4500) {
            pthread_mutex_lock(&lock);
            store_put("servers", w->id, NULL);
            record("entry-removed worker=%s", w->id);
            pthread_mutex_unlock(&lock);
            dropped = true;
        }
        if (running_of(id) > 0) {
            idle_since = now_ms();
        }
        int64_t from = idle_since + AFTER_LAST_RUN_MS;
        from = from > calm_since + CALM_MS ? from : calm_since + CALM_MS;
        idle_most = now_ms() - from > idle_most ? now_ms() - from : idle_most;
        sleep_ms(20);
    }
    if (state_of("/bulk/", id, state, sizeof(state)) == 0) {
        finish(2, "no answer about the job");
    }
    if (idle_most > IDLE_MS) {
        finish(
            1,
            "state %s, and nothing ran for %.1f s of calm, counted from 6 s "
            "after the last run (bound %.1f s)",
            state, (double)idle_most / 1000, IDLE_MS / 1000.0);
    }
    finish(0, "state %s; idle in calm %.1f s", state,
           (double)idle_most / 1000);
}
