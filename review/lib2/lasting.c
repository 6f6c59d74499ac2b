/* A job whose task lasts; the worker under it crashes five times, each time
 * another run has been at work for some seconds. */
#include <stdio.h>
#include <string.h>

#include "platform.h"

#define WORKERS 8
#define CRASHES 5
/* How long a run is at work before its worker crashes, and how long the
 * worker is down (srv_crash: for_s is 4.5 at most). */
#define AT_WORK_MS 5000
#define DOWN_MS 2500
/* RULES.md, LOST: from 6 s after the task's last run, for 3 s, if these and
 * the 4 s before are calm. */
#define AFTER_LAST_RUN_MS 6000
#define IDLE_MS 3000
#define CALM_MS 4000

static const char id[] = "00000000000a1a57";

/* Waits until a run of the job has been at work for that long; false if there
 * is none for `limit` ms. */
static bool
wait_at_work(int64_t at_work, int64_t limit)
{
    int64_t since = 0, end = now_ms() + limit;
    while (now_ms() < end) {
        if (running_of(id) == 0) {
            since = 0;
        }
        else if (since == 0) {
            since = now_ms();
        }
        if (since != 0 && now_ms() - since >= at_work) {
            return true;
        }
        sleep_ms(20);
    }
    return false;
}

static struct worker *
worker_of_run(void)
{
    for (int w = 0; w < worker_count; w++) {
        for (int i = 0; i < workers[w].run_count; i++) {
            if (strcmp(workers[w].runs[i].id, id) == 0) {
                return &workers[w];
            }
        }
    }
    return NULL;
}

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
    int crashes = 0;
    for (int i = 0; i < CRASHES; i++) {
        if (!wait_at_work(AT_WORK_MS, 15000)) {
            break;
        }
        if (!trouble) {
            continue;
        }
        pthread_mutex_lock(&lock);
        struct worker *w = worker_of_run();
        if (w != NULL) {
            worker_crash(w);
            crashes++;
        }
        pthread_mutex_unlock(&lock);
        sleep_ms(DOWN_MS);
        pthread_mutex_lock(&lock);
        if (w != NULL) {
            worker_boot(w);
        }
        pthread_mutex_unlock(&lock);
    }
    /* No disruption from here on. */
    int64_t calm_since = now_ms();
    int64_t idle_since = now_ms(), idle_most = 0;
    while (now_ms() - calm_since < 25000) {
        if (running_of(id) > 0) {
            idle_since = now_ms();
        }
        int64_t from = idle_since + AFTER_LAST_RUN_MS;
        from = from > calm_since + CALM_MS ? from : calm_since + CALM_MS;
        idle_most = now_ms() - from > idle_most ? now_ms() - from : idle_most;
        sleep_ms(20);
    }
    int status = state_of("/bulk/", id, state, sizeof(state));
    if (status == 0) {
        finish(2, "no answer about the job");
    }
    if (strcmp(state, "failed") == 0) {
        finish(1,
               "after %d crashes of its worker the job is shown as failed; no "
               "run ended `failed`; nothing ran for %.1f s of calm (bound "
               "%.1f s)",
               crashes, (double)idle_most / 1000, IDLE_MS / 1000.0);
    }
    if (idle_most > IDLE_MS) {
        finish(1, "state %s, nothing ran for %.1f s of calm", state,
               (double)idle_most / 1000);
    }
    finish(0, "state %s after %d crashes; idle in calm %.1f s at most", state,
           crashes, idle_most > 0 ? (double)idle_most / 1000 : 0.0);
}
