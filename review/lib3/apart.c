/* A zone loses power twice while services that last run there. Exits with 1
 * if, with all minions back and nothing else disturbed, a task that lasts is
 * not run for 3 s, from 6 s after its last run on, with the 4 s before calm,
 * though there is room for it many times over. */
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define MINIONS 3
#define SERVICES 6
#define UPTIME_MS 12000
#define DOWN_MS 1500
#define WATCH_MS 14000
/* As the rule LOST has them. */
#define AFTER_LAST_RUN_MS 6000
#define CALM_BEFORE_MS 4000
#define IDLE_MS 3000

static const char route[] =
    "{\"name\":\"plans\",\"host\":\"site.example\",\"path_prefix\":\"/plans/"
    "\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"service\":\"work\","
    "\"priority\":1,\"max_attempts\":3,\"stretch\":3.0,"
    "\"target_duration_ms\":1500,\"allow_anonymous\":false}";
static const char lasting[] =
    "{\"spec\":\"serve\",\"steps\":[{\"count\":1,\"cpu\":8000,\"mem_mb\":"
    "19000,"
    "\"gpu\":1,\"continuous\":true,\"max_unavailable\":1}]}";

static void
task_name(int service, char *to, size_t size)
{
    snprintf(to, size, "00000000000000e%d.0.0.0", service);
}

/* Returns when the task's latest run ended; with the lock held. */
static int64_t
last_end_ms(const char *task)
{
    int64_t end_ms = 0;
    for (int i = 0; i < rig.start_count; i++) {
        if (strcmp(rig.starts[i].task, task) == 0 &&
            rig.starts[i].end_ms > end_ms) {
            end_ms = rig.starts[i].end_ms;
        }
    }
    return end_ms;
}

int
main(int argc, char **argv)
{
    char path[64];
    char task[80];
    char why[200];
    int64_t idle_since_ms[SERVICES] = {0};
    Rig_Open(argc > 1 ? argv[1] : "record.txt");
    for (int i = 0; i < MINIONS; i++) {
        Rig_AddMinion("south-a", i < 2 ? "r1-1" : "r1-2", 8);
    }
    Rig_Start(3, route, NULL);
    for (int i = 0; i < SERVICES; i++) {
        snprintf(path, sizeof(path), "/plans/00000000000000e%d", i);
        Rig_Submit(path, lasting);
    }
    Rig_Sleep(UPTIME_MS);
    for (int loss = 0; loss < 2; loss++) {
        for (int i = 0; i < MINIONS && Rig_Trouble(); i++) {
            Rig_Crash(i, DOWN_MS);
        }
        Rig_Sleep(loss == 0 ? DOWN_MS + UPTIME_MS : DOWN_MS);
    }
    int64_t calm_ms = Rig_Now() + 100;
    while (Rig_Now() < calm_ms + WATCH_MS) {
        for (int i = 0; i < SERVICES; i++) {
            task_name(i, task, sizeof(task));
            bool runs = Rig_WhereIs(task) >= 0;
            int64_t now_ms = Rig_Now();
            Rig_Lock();
            int64_t from_ms = last_end_ms(task) + AFTER_LAST_RUN_MS;
            Rig_Unlock();
            if (runs || now_ms < from_ms ||
                now_ms < calm_ms + CALM_BEFORE_MS) {
                idle_since_ms[i] = 0;
            }
            else if (idle_since_ms[i] == 0) {
                idle_since_ms[i] = now_ms;
            }
            else if (now_ms - idle_since_ms[i] >= IDLE_MS) {
                int used = 0;
                for (int k = 0; k < MINIONS; k++) {
                    used += Rig_RunsOn(k);
                }
                snprintf(why, sizeof(why),
                         "task %s does not run for 3 s, %.1f s after its last "
                         "run; %d of %d accelerators are in use",
                         task,
                         (double)(now_ms - from_ms + AFTER_LAST_RUN_MS) / 1000,
                         used, MINIONS * 8);
                Rig_Exit(1, why);
            }
        }
        Rig_Sleep(20);
    }
    Rig_Exit(0, "each task that lasts runs");
}
