/* A service that lasts takes all idle GPUs; then another tenant hands in a job
 * of priority 0 within its guarantee. Exits with 1 if its tasks have not begun
 * RECLAIM_MS after its confirmation. */
#include <string.h>

#include "rig.h"

#define MINIONS 3
#define RECLAIM_MS 2900
#define WATCH_MS 40000

static const char routes[] =
    "{\"name\":\"serve\",\"host\":\"site.example\",\"path_prefix\":\"/serve/"
    "\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"service\":\"work\","
    "\"priority\":2,\"max_attempts\":3,\"stretch\":3.0,"
    "\"target_duration_ms\":3000,\"allow_anonymous\":false},"
    "{\"name\":\"urgent\",\"host\":\"site.example\",\"path_prefix\":"
    "\"/urgent/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
    "\"service\":\"work\",\"priority\":0,\"max_attempts\":2,\"stretch\":1.5,"
    "\"target_duration_ms\":600,\"allow_anonymous\":false}";
static const char tenants[] =
    "{\"name\":\"team\",\"api_keys\":[\"key\"],\"guaranteed_gpus\":{\"gpu\":"
    "16}"
    "},{\"name\":\"shop\",\"api_keys\":[\"other\"],\"guaranteed_gpus\":"
    "{\"gpu\":0}}";
static const char lasting[] =
    "{\"spec\":\"serve\",\"steps\":[{\"count\":24,\"cpu\":8000,\"mem_mb\":"
    "19000,"
    "\"gpu\":1,\"continuous\":true,\"max_unavailable\":1}]}";
static const char urgent[] =
    "{\"spec\":\"ms=2500\",\"steps\":[{\"count\":2,\"cpu\":15000,\"mem_mb\":"
    "19000,\"gpu\":4,\"estimated_ms\":2500}]}";

/* Returns when the latest of the job's first runs began; 0 if one has not. */
static int64_t
begun_ms(const char *id, int tasks)
{
    int64_t at_ms = 0;
    int begun = 0;
    Rig_Lock();
    for (int i = 0; i < rig.start_count; i++) {
        if (strncmp(rig.starts[i].task, id, strlen(id)) == 0) {
            begun++;
            at_ms = rig.starts[i].at_ms;
        }
    }
    Rig_Unlock();
    return begun >= tasks ? at_ms : 0;
}

int
main(int argc, char **argv)
{
    char why[160];
    Rig_Open(argc > 1 ? argv[1] : "record.txt");
    for (int i = 0; i < MINIONS; i++) {
        Rig_AddMinion("east-a", i < 2 ? "r1-1" : "r1-2", 8);
    }
    Rig_Start(3, routes, tenants);
    rig.key = "other";
    if (Rig_Trouble()) {
        Rig_Submit("/serve/0000000000000300", lasting);
    }
    Rig_Sleep(5000);
    rig.key = "key";
    Rig_Submit("/urgent/0000000000000301", urgent);
    int64_t confirmed_ms = Rig_Now();
    while (Rig_Now() < confirmed_ms + WATCH_MS &&
           begun_ms("0000000000000301", 2) == 0) {
        Rig_Sleep(50);
    }
    int64_t at_ms = begun_ms("0000000000000301", 2);
    if (at_ms == 0) {
        snprintf(why, sizeof(why),
                 "the guaranteed job has not begun within %d ms; the rule "
                 "allows %d",
                 WATCH_MS, RECLAIM_MS);
        Rig_Exit(1, why);
    }
    snprintf(why, sizeof(why),
             "the guaranteed job has begun %ld ms after its confirmation; the "
             "rule allows %d",
             (long)(at_ms - confirmed_ms), RECLAIM_MS);
    Rig_Exit(at_ms > confirmed_ms + RECLAIM_MS ? 1 : 0, why);
}
