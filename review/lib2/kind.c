/* Jobs that need the label "a" wait while all workers are full. While the
 * store answers 503, one worker crashes and is back as another kind: label
 * "b", four accelerators instead of eight. It can report that once the store
 * is back. */
#include <stdio.h>
#include <string.h>

#include "platform.h"

#define WORKERS 10
#define JOBS 20
/* platform_down: for_s is 4.5 at most. */
#define BUSY_MS 4000
/* srv_crash: for_s is 4.5 at most, for a share of 0.14 of the workers. */
#define CRASH_AFTER_MS 500
#define DOWN_MS 1500

int
main(int count, char **args)
{
    char id[24];
    int wrong = 0, over = 0;
    (void)count;
    snprintf(needed_label, sizeof(needed_label), "a");
    platform_begin(args[1], WORKERS, 8);
    start_nodes(3);
    for (int i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        submit("/bulk/", id,
               "{\"spec\":\"gpu=8;ms=60000\",\"steps\":[{\"count\":1,\"cpu\":"
               "8000,\"mem_mb\":8192,\"gpu\":8,\"estimated_ms\":60000,"
               "\"required_label\":\"a\"}]}");
    }
    sleep_ms(3000);
    struct worker *w = &workers[4];
    if (trouble) {
        record("store answers 503");
        store_busy = true;
    }
    sleep_ms(CRASH_AFTER_MS);
    if (trouble) {
        pthread_mutex_lock(&lock);
        worker_crash(w);
        pthread_mutex_unlock(&lock);
        sleep_ms(DOWN_MS);
        pthread_mutex_lock(&lock);
        snprintf(w->kind, sizeof(w->kind), "b");
        w->gpu = 4;
        worker_boot(w);
        pthread_mutex_unlock(&lock);
    }
    sleep_ms(BUSY_MS - CRASH_AFTER_MS - DOWN_MS);
    store_busy = false;
    record("store answers again");
    sleep_ms(6000);
    pthread_mutex_lock(&lock);
    int starts = w->starts;
    for (int k = 0; k < WORKERS; k++) {
        wrong += workers[k].wrong_label;
        over += workers[k].over_capacity;
    }
    pthread_mutex_unlock(&lock);
    if (starts == 0) {
        finish(2, "the worker had no run before the crash");
    }
    if (wrong > 0 || over > 0) {
        finish(1,
               "%d starts on a worker without the label, %d beyond its "
               "capacity",
               wrong, over);
    }
    finish(0, "no start on a worker of the wrong kind");
}
