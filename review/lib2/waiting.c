/* All workers but one are full, and that one refuses starts with 503 for 6.5
 * s: how many jobs does GET PREFIX say are waiting? */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

#define WORKERS 10
#define JOBS 10
/* srv_grey: for_s is 6.5 at most, for a share of 0.1 of the workers. */
#define GREY_MS 6100
/* RULES.md, MIXED: jobs accepted over visible_ms + 2 s before. */
#define OLD_MS (3000 + 2000)

static int64_t accepted[JOBS];
static bool begun[JOBS];

static void
note_start(struct worker *w, struct run *r)
{
    (void)w;
    unsigned long number = strtoul(r->id, NULL, 16);
    if (number >= 0x1000 && number < 0x1000 + JOBS) {
        begun[number - 0x1000] = true;
    }
}

int
main(int count, char **args)
{
    char id[24], answer[256];
    (void)count;
    platform_begin(args[1], WORKERS, 8);
    on_start = note_start;
    start_nodes(3);
    /* Fill the workers; the first job ends soon. */
    for (int i = 0; i < WORKERS; i++) {
        char body[256];
        snprintf(id, sizeof(id), "%016x", 0x100 + i);
        snprintf(body, sizeof(body),
                 "{\"spec\":\"gpu=8;ms=%d\",\"steps\":[{\"count\":1,\"cpu\":"
                 "8000,\"mem_mb\":8192,\"gpu\":8,\"estimated_ms\":%d}]}",
                 i == 0 ? 8000 : 60000, i == 0 ? 8000 : 60000);
        submit("/bulk/", id, body);
    }
    struct worker *grey = NULL;
    int64_t limit = now_ms() + 7000;
    while (grey == NULL && now_ms() < limit) {
        int full = 0;
        pthread_mutex_lock(&lock);
        for (int w = 0; w < WORKERS; w++) {
            full += workers[w].run_count > 0 ? 1 : 0;
        }
        for (int w = 0; w < WORKERS && full == WORKERS; w++) {
            if (strcmp(workers[w].runs[0].id, "0000000000000100") == 0) {
                grey = &workers[w];
            }
        }
        pthread_mutex_unlock(&lock);
        sleep_ms(10);
    }
    if (grey == NULL) {
        finish(2, "the workers are not full");
    }
    while (running_of("0000000000000100") > 0) {
        sleep_ms(5);
    }
    int64_t grey_since = now_ms();
    pthread_mutex_lock(&lock);
    grey->sheds = trouble;
    record("grey worker=%s sheds=%d", grey->id, grey->sheds);
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        submit("/bulk/", id,
               "{\"spec\":\"gpu=1;ms=20000\",\"steps\":[{\"count\":1,\"cpu\":"
               "1000,\"mem_mb\":1024,\"gpu\":1,\"estimated_ms\":20000}]}");
        accepted[i] = now_ms();
    }
    int worst_shown = 0, worst_true = 0, looks = 0;
    while (now_ms() - grey_since < GREY_MS) {
        sleep_ms(100);
        int64_t asked = now_ms();
        int before = 0;
        int status = call(looks % node_count, "GET", "/bulk/", "", answer,
                          sizeof(answer));
        json_t *root = json_loads(answer, 0, NULL);
        int shown = (int)json_integer_value(json_object_get(root, "waiting"));
        json_decref(root);
        pthread_mutex_lock(&lock);
        for (int i = 0; i < JOBS; i++) {
            before += asked - accepted[i] > OLD_MS && !begun[i] ? 1 : 0;
        }
        pthread_mutex_unlock(&lock);
        if (status != 200 || before == 0) {
            continue;
        }
        looks++;
        if (2 * shown < before &&
            before - 2 * shown > worst_true - 2 * worst_shown) {
            worst_shown = shown;
            worst_true = before;
        }
    }
    pthread_mutex_lock(&lock);
    grey->sheds = false;
    pthread_mutex_unlock(&lock);
    if (looks == 0) {
        finish(2, "no count could be judged");
    }
    if (worst_true > 0) {
        finish(1,
               "%d jobs accepted over 5 s before had not begun, and `waiting` "
               "was %d (%d looks)",
               worst_true, worst_shown, looks);
    }
    finish(0,
           "`waiting` was at least half of the jobs that had not begun (%d "
           "looks)",
           looks);
}
