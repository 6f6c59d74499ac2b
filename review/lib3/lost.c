/* A zone loses power three times while a service that lasts runs there; later
 * the service fails twice by itself. Exits with 1 if its job, which nobody has
 * cancelled, is shown as failed or is not run any more. */
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define MINIONS 3
#define LOSSES 3
/* From the start of a run to the loss of power. */
#define UPTIME_MS 6000
#define DOWN_MS 1500
/* The service's own failures come so long after each start. */
#define FAILS_AFTER_MS 9000
#define WATCH_MS 45000

static const char route[] =
    "{\"name\":\"plans\",\"host\":\"site.example\",\"path_prefix\":\"/plans/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"service\":\"work\","
    "\"priority\":1,\"max_attempts\":3,\"stretch\":3.0,"
    "\"target_duration_ms\":1500,\"allow_anonymous\":false}";
static const char lasting[] =
    "{\"spec\":\"serve;fail;ms=9000\",\"steps\":[{\"count\":1,\"cpu\":8000,"
    "\"mem_mb\":19000,\"gpu\":4,\"continuous\":true}]}";
static const char job[] = "/plans/00000000000000a0";
static const char task[] = "00000000000000a0.0.0.0";

/* Waits until a run of the task has begun, at most 10 s. */
static bool
wait_for_run(void)
{
    for (int i = 0; i < 500; i++) {
        if (Rig_WhereIs(task) >= 0) {
            return true;
        }
        Rig_Sleep(20);
    }
    return false;
}

int
main(int argc, char **argv)
{
    char state[512] = "";
    Rig_Open(argc > 1 ? argv[1] : "record.txt");
    for (int i = 0; i < MINIONS; i++) {
        Rig_AddMinion("east-a", i < 2 ? "r1-1" : "r1-2", 8);
    }
    Rig_Start(3, route, NULL);
    Rig_Submit(job, lasting);
    for (int i = 0; i < LOSSES && Rig_Trouble(); i++) {
        if (!wait_for_run()) {
            Rig_Exit(2, "the service does not run");
        }
        Rig_Sleep(UPTIME_MS);
        for (int k = 0; k < MINIONS; k++) {
            Rig_Crash(k, DOWN_MS);
        }
    }
    int64_t end_ms = Rig_Now() + WATCH_MS;
    while (Rig_Now() < end_ms) {
        int status = Rig_Call(0, "GET", job, "", state, sizeof(state));
        if (status == 200 && strstr(state, "failed") != NULL) {
            Rig_Sleep(6000);
            Rig_Exit(1, Rig_WhereIs(task) < 0
                            ? "a job that lasts is shown as failed, and is "
                              "not run any more"
                            : "a job that lasts is shown as failed");
        }
        Rig_Sleep(1000);
    }
    Rig_Exit(wait_for_run() ? 0 : 1, "the service was started again each time");
}
