/* A job with two tasks that last and whose data is on a rack of two workers,
 * one task on each. One of these workers is lost for good; ten workers on
 * other racks are idle. */
#include <stdio.h>
#include <string.h>

#include "platform.h"

#define WORKERS 12
/* RULES.md, LOST: from 6 s after the task's last run, for 3 s, if these and
 * the 4 s before are calm. */
#define AFTER_LAST_RUN_MS 6000
#define IDLE_MS 3000
#define CALM_MS 4000
#define WATCHED_MS 30000

static const char id[] = "00000000000a1a57";

int
main(int count, char **args)
{
    char state[64];
    (void)count;
    platform_begin(args[1], WORKERS, 8);
    start_nodes(3);
    submit("/bulk/", id,
           "{\"spec\":\"gpu=8;lasts\",\"steps\":[{\"count\":2,\"cpu\":4000,"
           "\"mem_mb\":4096,\"gpu\":8,\"continuous\":true,\"data_rack\":"
           "\"r1-1\",\"estimated_ms\":600000}]}");
    for (int i = 0; running_of(id) < 2 && i < 100; i++) {
        sleep_ms(100);
    }
    sleep_ms(3000);
    if (running_of(id) < 2) {
        finish(2, "the tasks do not run");
    }
    struct worker *lost = NULL;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < WORKERS; i++) {
        lost = workers[i].run_count > 0 ? &workers[i] : lost;
    }
    if (trouble) {
        worker_crash(lost);
    }
    pthread_mutex_unlock(&lock);
    /* No disruption from here on. The lost worker sends nothing any more, and
     * its entry goes after three heartbeat intervals. */
    int64_t since = now_ms(), idle_since = now_ms(), idle_most = 0;
    bool dropped = !trouble;
    while (now_ms() - since < WATCHED_MS) {
        if (!dropped && now_ms() - since > 4500) {
            pthread_mutex_lock(&lock);
            store_put("servers", lost->id, NULL);
            record("entry-removed worker=%s", lost->id);
            pthread_mutex_unlock(&lock);
            dropped = true;
        }
        if (running_of(id) == 2) {
            idle_since = now_ms();
        }
        int64_t from = idle_since + AFTER_LAST_RUN_MS;
        from = from > since + CALM_MS ? from : since + CALM_MS;
        idle_most = now_ms() - from > idle_most ? now_ms() - from : idle_most;
        sleep_ms(20);
    }
    if (state_of("/bulk/", id, state, sizeof(state)) == 0) {
        finish(2, "no answer about the job");
    }
    if (idle_most > IDLE_MS) {
        finish(1,
               "a task did not run for %.1f s of calm, counted from 6 s after "
               "its last run, beside ten idle workers (bound %.1f s; watched "
               "for %d s)",
               (double)idle_most / 1000, IDLE_MS / 1000.0, WATCHED_MS / 1000);
    }
    finish(0, "both tasks ran");
}
