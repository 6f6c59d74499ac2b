/* A job of 940 tasks that save checkpoints, among small jobs. */
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define SMALL_JOBS 5
/* bounds.finish_s. */
#define FINISH_MS 14000

/* Two independent steps of tasks that differ in length. */
static const char *const job_body =
    "{\"spec\":\"ms=20000 spread=250 cpu=250 ck=64\",\"steps\":["
    "{\"count\":%u,\"cpu\":250,\"mem_mb\":64,\"estimated_ms\":60000,"
    "\"enable_checkpoints\":true},"
    "{\"count\":%u,\"cpu\":250,\"mem_mb\":64,\"estimated_ms\":60000,"
    "\"enable_checkpoints\":true}]}";
static const char *const small_body =
    "{\"spec\":\"ms=2000 cpu=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
    "\"mem_mb\":64,\"estimated_ms\":2000}]}";

int
main(void)
{
    struct RigCall call;
    char body[1024];
    char id[32];
    int verdict = RIG_HELD;
    Rig_Start(&(struct RigOptions){
        .nodes = 3,
        .workers = 8,
        .cores = 128,
        .memory_mb = 524288,
        .accelerators = 8,
    });
    /* Without the disruption the same tasks come as ten jobs. */
    unsigned jobs = Rig_HasTrouble() ? 1 : 10;
    for (unsigned i = 0; i < jobs; i++) {
        snprintf(id, sizeof(id), "b%015u", i);
        snprintf(body, sizeof(body), job_body, 470 / jobs, 470 / jobs);
        if (Rig_Ask(&call, i % 3, "POST", "bulk", id, body) != 200) {
            Rig_Record("the large job is not accepted");
            Rig_Stop();
            return RIG_COULD_NOT_RUN;
        }
    }
    Rig_Wait(25000);
    for (unsigned i = 0; i < SMALL_JOBS; i++) {
        snprintf(id, sizeof(id), "a%015u", i);
        if (Rig_Ask(&call, i % 3, "POST", "normal", id, small_body) != 200) {
            Rig_Stop();
            return RIG_COULD_NOT_RUN;
        }
        Rig_Wait(500);
    }
    /* The traffic has ended. */
    Rig_Wait(FINISH_MS);
    for (int s = 0; s < 30; s++) {
        Rig_Wait(100);
    }
    for (unsigned i = 0; i < SMALL_JOBS; i++) {
        snprintf(id, sizeof(id), "a%015u", i);
        const char *state = Rig_State(id);
        unsigned load = Rig_LoadPercent();
        Rig_Record("small job %s: %s, started %u times, %u%% of the workers' "
                   "processors in use",
                   id, state, Rig_Starts(id), load);
        if (strcmp(state, "completed") != 0 && Rig_Running(id) == 0 &&
            Rig_IdleMs(id) > 3000 && load < 50) {
            verdict = RIG_BROKEN;
        }
    }
    Rig_Record("verdict: %s",
               verdict == RIG_BROKEN ? "LOST is broken" : "LOST held");
    Rig_Stop();
    return verdict;
}
