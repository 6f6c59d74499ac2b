/* Workers whose entries expire during an outage of the store. */
#include "test_support.h"

#include <stdlib.h>

#include "engine_state.h"
#include "log.h"

#define NOW_MS 100000
#define BACK_MS (NOW_MS + 5000)

enum State {
    STATE_RESPONDS,
    STATE_SILENT,
    STATE_DRAINING,
    /* Responds, and restarts after the store's return. */
    STATE_RESTARTS,
    /* Responds until the store's return. */
    STATE_DIES,
};

struct Case {
    const char *name;
    enum State state;
    bool outage;
    /* Time from the store's return to the deletion of the entry, ms. */
    int64_t deleted_ms;
    /* The entry comes back 1.5 s after the store. */
    bool returns;
    /* The worker is usable right after the deletion, 1.9 s after the store's
     * return, and 2.1 s after it. */
    bool usable[3];
};

static const struct Case cases[] = {
    {"entry comes back", STATE_RESPONDS, true, 0, true, {true, true, true}},
    {"entry expires late",
     STATE_RESPONDS,
     true,
     900,
     true,
     {true, true, true}},
    {"entry stays away", STATE_RESPONDS, true, 0, false, {true, true, false}},
    {"no outage", STATE_RESPONDS, false, 0, false, {false, false, false}},
    {"silent", STATE_SILENT, true, 0, false, {false, false, false}},
    {"draining", STATE_DRAINING, true, 0, false, {false, false, false}},
    {"restarted", STATE_RESTARTS, true, 0, false, {true, false, false}},
    {"died", STATE_DIES, true, 0, false, {true, false, false}},
};

static void
ignore_command(void *context, const struct SrCommand *command)
{
    (void)context;
    (void)command;
}

/* Sets what polls of the worker have shown until `now_ms`. */
static void
respond(struct SrWorker *worker, enum State state, int64_t now_ms)
{
    bool silent = state == STATE_SILENT ||
                  (state == STATE_DIES && now_ms > BACK_MS + 100);
    if (state == STATE_RESTARTS && now_ms > BACK_MS + 100) {
        worker->info.incarnation = 2;
    }
    worker->fenced = true;
    worker->clock_ms = 1;
    worker->response_ms = silent ? now_ms - 3000 : now_ms;
}

static bool
is_usable_after_tick(struct SrEngine *engine, enum State state, int64_t now_ms)
{
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, "w");
    if (worker == NULL) {
        return false;
    }
    respond(worker, state, now_ms);
    SrEngine_Tick(engine, false, now_ms, 0);
    worker = SrFleet_Find(&engine->fleet, "w");
    return worker != NULL && SrFleet_IsUsable(worker, now_ms);
}

/* Guards against a fleet on which nothing is placed for 2 s after each outage
 * of the store, and against work for workers that are gone. */
static void
workers_that_respond_are_used_until_their_entries_are_back(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct SrWorkerEntry entry = {.id = "w",
                                      .address = "127.0.0.1:1",
                                      .accelerators = 1,
                                      .draining = c->state == STATE_DRAINING,
                                      .incarnation = 1};
        struct SrEngine *engine =
            SrEngine_Create(&(struct SrEngineOptions){.lease_ms = 6000,
                                                      .send = ignore_command},
                            1, NOW_MS);
        int64_t deleted_ms = BACK_MS + c->deleted_ms;
        bool usable[3];
        SrEngine_SetWorker(engine, "w", &entry, NOW_MS);
        respond(SrFleet_Find(&engine->fleet, "w"), c->state, deleted_ms);
        if (c->outage) {
            SrEngine_OnStoreLost(engine, NOW_MS);
            SrEngine_OnStoreBack(engine, BACK_MS);
        }
        SrEngine_SetWorker(engine, "w", NULL, deleted_ms);
        usable[0] = is_usable_after_tick(engine, c->state, deleted_ms + 50);
        if (c->returns) {
            SrEngine_SetWorker(engine, "w", &entry, BACK_MS + 1500);
        }
        usable[1] = is_usable_after_tick(engine, c->state, BACK_MS + 1900);
        usable[2] = is_usable_after_tick(engine, c->state, BACK_MS + 2100);
        for (size_t k = 0; k < SR_LENGTH(usable); k++) {
            if (usable[k] != c->usable[k]) {
                fail_msg("%s: usable %d at time %zu", c->name, usable[k], k);
            }
        }
        SrEngine_Destroy(engine);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            workers_that_respond_are_used_until_their_entries_are_back),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
