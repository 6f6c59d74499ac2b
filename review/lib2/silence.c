/* Once, the open channels to the workers go silent, without a reset; new ones
 * work. A job with four tasks that last runs, and jobs of small tasks ran
 * before. */
#include <stdio.h>
#include <string.h>

#include "platform.h"

#define WORKERS 10
#define TASKS 4
/* RULES.md, LOST: from 6 s after the task's last run, for 3 s, if these and
 * the 4 s before are calm. */
#define AFTER_LAST_RUN_MS 6000
#define IDLE_MS 3000
#define CALM_MS 4000
#define WATCHED_MS 30000

static const char lasting[] = "00000000000a1a57";
static const char late[] = "00000000000b0b00";

int
main(int count, char **args)
{
    char id[24], state[64];
    (void)count;
    platform_begin(args[1], WORKERS, 8);
    start_nodes(3);
    submit("/bulk/", lasting,
           "{\"spec\":\"gpu=2;lasts\",\"steps\":[{\"count\":4,\"cpu\":4000,"
           "\"mem_mb\":4096,\"gpu\":2,\"continuous\":true}]}");
    sleep_ms(1000);
    /* Tasks as in the first example of PROTOCOL.md: half a core and 256 MB. */
    for (int i = 0; i < 8; i++) {
        snprintf(id, sizeof(id), "%016x", 0x1000 + i);
        submit("/bulk/", id,
               "{\"spec\":\"gpu=0;ms=800\",\"steps\":[{\"count\":80,\"cpu\":"
               "500,\"mem_mb\":256,\"estimated_ms\":900}]}");
    }
    sleep_ms(7000);
    if (running_of(lasting) < TASKS) {
        finish(2, "the tasks do not run");
    }
    pthread_mutex_lock(&lock);
    int open = 0;
    for (int i = 0; i < WORKERS; i++) {
        open += workers[i].conn_count;
    }
    silences += trouble ? 1 : 0;
    record("channels-open=%d silent=%d", open, silences);
    pthread_mutex_unlock(&lock);
    /* No disruption from here on. */
    int64_t since = now_ms(), seen = now_ms(), idle_most = 0;
    bool submitted = false;
    while (now_ms() - since < WATCHED_MS) {
        if (running_of(lasting) > 0) {
            seen = now_ms();
        }
        if (!submitted && now_ms() - since > 10000) {
            submit("/bulk/", late,
                   "{\"spec\":\"gpu=1;ms=300\",\"steps\":[{\"count\":1,"
                   "\"cpu\":1000,\"mem_mb\":1024,\"gpu\":1}]}");
            submitted = true;
        }
        int64_t from = seen + AFTER_LAST_RUN_MS;
        from = from > since + CALM_MS ? from : since + CALM_MS;
        idle_most = now_ms() - from > idle_most ? now_ms() - from : idle_most;
        sleep_ms(20);
    }
    if (state_of("/bulk/", late, state, sizeof(state)) == 0) {
        finish(2, "no answer about the job");
    }
    if (idle_most > IDLE_MS) {
        finish(
            1,
            "no task of the lasting job ran for %.1f s of calm, counted "
            "from 6 s after its last run (bound %.1f s; watched for %d s); a "
            "job accepted 10 s after the silence is %s 20 s later; %d "
            "channels were open",
            (double)idle_most / 1000, IDLE_MS / 1000.0, WATCHED_MS / 1000,
            state, open);
    }
    finish(0, "the tasks ran, or ran again in time; the later job is %s",
           state);
}
