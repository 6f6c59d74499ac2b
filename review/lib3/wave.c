/* A wave for the machine that has all tasks of a service. Exits with 1 if its
 * upkeep ends a task at work while as many others of its step as
 * max_unavailable are away: not at work, after a stop or by this upkeep. */
#include <string.h>

#include "rig.h"

#define MACHINES 3
#define TASKS 8
#define MAX_UNAVAILABLE 1
#define STARTUP_MS 300

static const char route[] =
    "{\"name\":\"plans\",\"host\":\"site.example\",\"path_prefix\":\"/plans/"
    "\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"service\":\"work\","
    "\"priority\":1,\"max_attempts\":3,\"stretch\":3.0,"
    "\"target_duration_ms\":1500,\"allow_anonymous\":false}";
static const char lasting[] =
    "{\"spec\":\"serve\",\"steps\":[{\"count\":8,\"cpu\":8000,\"mem_mb\":"
    "19000,"
    "\"gpu\":1,\"continuous\":true,\"max_unavailable\":1}]}";
static const char service[] = "00000000000000c0.0.0.";

/* Tasks at work that the upkeep has ended, and the most of the other tasks
 * that were away then. */
static int most_ended;
static int most_away;

static bool
is_at_work(const struct RigRun *run)
{
    return strncmp(run->task, service, strlen(service)) == 0 &&
           run->stop_ms == 0 && Rig_Now() >= run->began_ms + STARTUP_MS;
}

static int
count_at_work(int minion)
{
    int count = 0;
    for (int i = 0; i < rig.minions[minion].run_count; i++) {
        count += is_at_work(&rig.minions[minion].runs[i]) ? 1 : 0;
    }
    return count;
}

static void
on_upkeep(int minion)
{
    int ended = count_at_work(minion);
    int elsewhere = 0;
    for (int i = 0; i < MACHINES; i++) {
        elsewhere += i != minion ? count_at_work(i) : 0;
    }
    int away = ended > 0 ? TASKS - 1 - elsewhere : 0;
    Rig_Log("upkeep of %s ends %d tasks at work; %d are at work elsewhere",
            rig.minions[minion].machine, ended, elsewhere);
    most_ended = ended > most_ended ? ended : most_ended;
    most_away = away > most_away ? away : most_away;
}

static bool
is_completed(void)
{
    char status[256] = "";
    return Rig_ReadRow("status", "wave/1", status, sizeof(status)) &&
           strstr(status, "completed") != NULL;
}

int
main(int argc, char **argv)
{
    char name[80];
    char value[160];
    Rig_Open(argc > 1 ? argv[1] : "record.txt");
    for (int i = 0; i < MACHINES; i++) {
        Rig_AddMinion("east-a", "r1-1", 8);
    }
    rig.on_upkeep = on_upkeep;
    Rig_Start(3, route, NULL);
    Rig_Submit("/plans/00000000000000c0", lasting);
    Rig_Sleep(2500);
    snprintf(name, sizeof(name), "%s0", service);
    int x = Rig_WhereIs(name);
    if (x < 0 || Rig_RunsOn(x) != TASKS) {
        Rig_Exit(2, "the tasks are not on one machine");
    }
    snprintf(value, sizeof(value),
             "{\"wave\":1,\"machines\":[\"m-%d\"],\"duration_s\":40,"
             "\"cap\":1}",
             x);
    if (Rig_Trouble()) {
        Rig_Operator("wave/1", value);
    }
    for (int i = 0; i < 450 && !is_completed(); i++) {
        Rig_Sleep(100);
    }
    if (most_away >= MAX_UNAVAILABLE) {
        snprintf(value, sizeof(value),
                 "an upkeep has ended %d tasks at work at one time, with %d "
                 "others of the step away and max_unavailable %d",
                 most_ended, most_away, MAX_UNAVAILABLE);
        Rig_Exit(1, value);
    }
    Rig_Exit(0, "one task was away at a time");
}
