/* For 5.3 s half of the orders to workers get no answer and reach the worker's
 * address 2 to 12 s later. Then two workers, one after the other, crash and
 * are back under their ids. Does a task start again that had ended `done`? */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

#define WORKERS 10
#define JOBS 16
#define TASKS 100
/* applied_late: x (.5), for_s 5.5 in the site file. */
#define LATE_PERCENT 50
#define LATE_MS 5300
/* srv_crash: a share of 0.14, for_s 4.5 at most. */
#define CRASHES 2
#define DOWN_MS 600
#define GAP_MS 1200

static bool noted[JOBS][TASKS];
static int twice, after_done, starts;

/* Returns the mark of the task; NULL if it is none of this case. */
static bool *
mark_of(const char *task)
{
    char id[24];
    int k, step, index;
    if (sscanf(task, "%16[^.].%d.%d.%d", id, &k, &step, &index) != 4) {
        return NULL;
    }
    unsigned long job = strtoul(id, NULL, 16) - 0x1000;
    return job < JOBS && index < TASKS ? &noted[job][index] : NULL;
}

static void
on_noted_end(struct worker *w, const struct ended *e)
{
    bool *mark = mark_of(e->task);
    if (mark != NULL && strcmp(e->how, "done") == 0 && !e->lapsed) {
        *mark = true;
        record("noted worker=%s task=%s run=%d", w->id, e->task, e->number);
    }
}

static void
on_run_start(struct worker *w, struct run *r)
{
    const bool *mark = mark_of(r->task);
    starts++;
    if (mark != NULL && *mark) {
        after_done++;
        record("BROKEN start after a noted end: worker=%s task=%s run=%d "
               "order-sent-to-boot=%lld reached=%lld",
               w->id, r->task, r->number, (long long)received_by,
               (long long)w->born);
    }
    for (int i = 0; i < worker_count; i++) {
        for (int k = 0; k < workers[i].run_count; k++) {
            const struct run *other = &workers[i].runs[k];
            if (workers[i].up && other != r &&
                strcmp(other->task, r->task) == 0) {
                twice++;
                record("BROKEN two runs at one time: task=%s workers=%s,%s",
                       r->task, w->id, workers[i].id);
            }
        }
    }
}

static void
set_late(int percent)
{
    for (int i = 0; i < worker_count; i++) {
        workers[i].late_percent = percent;
    }
    record("late-percent=%d", percent);
}

int
main(int count, char **args)
{
    char id[24], state[64];
    (void)count;
    platform_begin(args[1], WORKERS, 8);
    on_start = on_run_start;
    on_noted = on_noted_end;
    start_nodes(3);
    if (trouble) {
        set_late(LATE_PERCENT);
    }
    int64_t since = now_ms();
    for (int i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        submit("/bulk/", id,
               "{\"spec\":\"gpu=0;ms=500\",\"steps\":[{\"count\":100,\"cpu\":"
               "500,\"mem_mb\":512,\"estimated_ms\":500}]}");
        sleep_ms(200);
    }
    while (now_ms() - since < LATE_MS) {
        sleep_ms(10);
    }
    set_late(0);
    for (int i = 0; i < CRASHES; i++) {
        sleep_ms(GAP_MS - DOWN_MS);
        pthread_mutex_lock(&lock);
        if (trouble) {
            worker_crash(&workers[i]);
        }
        pthread_mutex_unlock(&lock);
        sleep_ms(DOWN_MS);
        pthread_mutex_lock(&lock);
        if (trouble) {
            worker_boot(&workers[i]);
        }
        pthread_mutex_unlock(&lock);
    }
    sleep_ms(14000);
    int completed = 0;
    for (int i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        state_of("/bulk/", id, state, sizeof(state));
        completed += strcmp(state, "completed") == 0 ? 1 : 0;
    }
    if (after_done > 0 || twice > 0) {
        finish(1,
               "%d starts of tasks that had ended `done` and were taken note "
               "of, %d times two runs of one task; %d starts of %d tasks",
               after_done, twice, starts, JOBS * TASKS);
    }
    finish(completed == JOBS ? 0 : 2,
           "no task ran twice; %d of %d jobs completed", completed, JOBS);
}
