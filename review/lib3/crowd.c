/* A client hands in jobs of many small tasks; then another tenant hands in
 * jobs of priority 0 within its guarantee. Exits with 1 if one of these has
 * not begun GIVEN_UP_MS after its confirmation; the rule allows RECLAIM_MS. */
#include <string.h>

#include "rig.h"

#define MINIONS 10
#define CROWD_JOBS 13
#define URGENT_JOBS 8
#define RECLAIM_MS 2900
#define GIVEN_UP_MS 20000

static const char routes[] =
    "{\"name\":\"batch\",\"host\":\"site.example\",\"path_prefix\":\"/batch/"
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
    "64}"
    "},{\"name\":\"crowd\",\"api_keys\":[\"other\"],\"guaranteed_gpus\":"
    "{\"gpu\":0}}";
static const char small_tasks[] = "{\"spec\":\"ms=600000\",\"steps\":[{"
                                  "\"count\":1000,\"cpu\":100,\"mem_mb\":"
                                  "100,\"estimated_ms\":600000}]}";
static const char urgent[] =
    "{\"spec\":\"ms=3000\",\"steps\":[{\"count\":1,\"cpu\":52000,\"mem_mb\":"
    "19000,\"gpu\":8,\"estimated_ms\":3000}]}";

/* Returns when the job's first task began; 0 if it has not. */
static int64_t
begun_ms(const char *id)
{
    int64_t at_ms = 0;
    Rig_Lock();
    for (int i = 0; i < rig.start_count && at_ms == 0; i++) {
        if (strncmp(rig.starts[i].task, id, strlen(id)) == 0) {
            at_ms = rig.starts[i].at_ms;
        }
    }
    Rig_Unlock();
    return at_ms;
}

int
main(int argc, char **argv)
{
    char path[64];
    char why[160];
    int64_t confirmed_ms[URGENT_JOBS];
    int late = 0;
    int missing = 0;
    Rig_Open(argc > 1 ? argv[1] : "record.txt");
    for (int i = 0; i < MINIONS; i++) {
        Rig_AddMinion("east-a", i < MINIONS / 2 ? "r1-1" : "r1-2", 8);
    }
    Rig_Start(3, routes, tenants);
    rig.key = "other";
    for (int i = 0; i < CROWD_JOBS && Rig_Trouble(); i++) {
        snprintf(path, sizeof(path), "/batch/00000000000001%02d", i);
        Rig_Submit(path, small_tasks);
    }
    Rig_Sleep(15000);
    rig.key = "key";
    for (int i = 0; i < URGENT_JOBS; i++) {
        snprintf(path, sizeof(path), "/urgent/000000000000020%d", i);
        Rig_Submit(path, urgent);
        confirmed_ms[i] = Rig_Now();
    }
    int64_t end_ms = Rig_Now() + GIVEN_UP_MS;
    while (Rig_Now() < end_ms) {
        int64_t from_ms = Rig_Now();
        for (int i = 0; i < 3; i++) {
            bool ready = Rig_IsReady(i);
            Rig_Lock();
            Rig_Log("readiness of %s: %s after %ld ms", rig.nodes[i].name,
                    ready ? "200" : "none", (long)(Rig_Now() - from_ms));
            Rig_Unlock();
            from_ms = Rig_Now();
        }
        Rig_Sleep(1000);
    }
    for (int i = 0; i < URGENT_JOBS; i++) {
        snprintf(path, sizeof(path), "000000000000020%d", i);
        int64_t at_ms = begun_ms(path);
        late += at_ms == 0 || at_ms > confirmed_ms[i] + RECLAIM_MS;
        missing += at_ms == 0;
        Rig_Lock();
        Rig_Log("job %s began %ld ms after its confirmation", path,
                at_ms != 0 ? (long)(at_ms - confirmed_ms[i]) : -1L);
        Rig_Unlock();
    }
    snprintf(why, sizeof(why),
             "of %d guaranteed jobs %d had not begun after %d ms, %d not "
             "after %d ms",
             URGENT_JOBS, late, RECLAIM_MS, missing, GIVEN_UP_MS);
    Rig_Exit(missing > 0 ? 1 : 0, why);
}
