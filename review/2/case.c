/* Many short tasks end on one worker while the store is down. */
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define JOBS 10
#define TASKS 94
/* platform_down lasts up to 4.5 s. */
#define DOWN_MS 4400

static const char *const body =
    "{\"spec\":\"ms=6000 cpu=125\",\"steps\":[{\"count\":94,\"cpu\":125,"
    "\"mem_mb\":64,\"estimated_ms\":6000}]}";

int
main(void)
{
    struct RigCall call;
    char id[32];
    unsigned again = 0;
    Rig_Start(&(struct RigOptions){
        .nodes = 3,
        .workers = 4,
        .cores = 128,
        .memory_mb = 524288,
        .accelerators = 8,
    });
    for (unsigned i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "a%015u", i);
        if (Rig_Ask(&call, i % 3, "POST", "normal", id, body) != 200) {
            Rig_Stop();
            return RIG_COULD_NOT_RUN;
        }
    }
    Rig_Wait(5000);
    if (Rig_HasTrouble()) {
        Rig_Record("trouble: the store answers all calls with 503");
        for (unsigned n = 0; n < 3; n++) {
            Rig_SetStore(n, &(struct RigStoreMode){.busy = true});
        }
    }
    Rig_Wait(DOWN_MS);
    Rig_Record("the store is as before");
    for (unsigned n = 0; n < 3; n++) {
        Rig_ResetStore(n);
    }
    Rig_Wait(20000);
    for (unsigned i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "a%015u", i);
        Rig_Record("job %s: %s, %u starts of %u tasks, %u ended done", id,
                   Rig_State(id), Rig_Starts(id), TASKS, Rig_Ends(id, "done"));
    }
    again = Rig_StartsAfterDone();
    Rig_Record("%u starts of a task after a run of it had ended done, whose "
               "end was taken note of",
               again);
    Rig_Record("verdict: %s", again > 0 ? "TWICE is broken" : "TWICE held");
    Rig_Stop();
    return again > 0 ? RIG_BROKEN : RIG_HELD;
}
