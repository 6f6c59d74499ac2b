/* A node gets SIGTERM while the store is slow for it; clients go on using the
 * channels that they have open, and take a 503 at its word. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define CLIENTS 32
#define JOBS_MAX 32
/* x = 60 on a transaction of 5 ms and a read of 4 ms. */
#define SLOW_TRANSACTION_MS 300
#define SLOW_READ_MS 240
/* Times after the SIGTERM: the store turns slow, clients submit jobs from
 * FIRST_MS until LAST_MS, and the store is as before. */
#define SLOW_FROM_MS 1200
#define FIRST_MS 1400
#define LAST_MS 5500
#define SLOW_UNTIL_MS 5600
#define STEP_MS 150

static const char *const body =
    "{\"spec\":\"ms=1000 cpu=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
    "\"mem_mb\":64,\"estimated_ms\":1000}]}";

int
main(void)
{
    static struct RigCall opened[CLIENTS];
    static struct RigCall calls[JOBS_MAX];
    char id[32];
    unsigned sent = 0;
    unsigned refused = 0;
    unsigned ran = 0;
    Rig_Start(&(struct RigOptions){
        .nodes = 3,
        .workers = 8,
        .cores = 128,
        .memory_mb = 524288,
        .accelerators = 8,
    });
    unsigned node = Rig_Leader() == 0 ? 1 : 0;
    /* Clients open their channels. */
    for (unsigned i = 0; i < CLIENTS; i++) {
        Rig_Send(&opened[i], node, "GET", "normal", "", NULL, 3000);
    }
    Rig_Wait(1000);
    if (Rig_HasTrouble()) {
        Rig_Signal(node, SIGTERM, -1);
    }
    int64_t from_ms = Rig_Now();
    Rig_Wait(SLOW_FROM_MS);
    if (Rig_HasTrouble()) {
        Rig_Record("trouble: the store is slow");
        for (unsigned n = 0; n < 3; n++) {
            Rig_SetStore(n, &(struct RigStoreMode){
                                .transaction_ms = SLOW_TRANSACTION_MS,
                                .read_ms = SLOW_READ_MS,
                            });
        }
    }
    Rig_Wait(FIRST_MS - SLOW_FROM_MS);
    while (sent < JOBS_MAX && Rig_Now() - from_ms < LAST_MS &&
           Rig_IsUp(node)) {
        snprintf(id, sizeof(id), "c%015u", sent);
        Rig_Send(&calls[sent], node, "POST", "normal", id, body, 3000);
        sent++;
        Rig_Wait(STEP_MS);
    }
    Rig_Wait(SLOW_UNTIL_MS - (Rig_Now() - from_ms));
    Rig_Record("the store is as before");
    for (unsigned n = 0; n < 3; n++) {
        Rig_ResetStore(n);
    }
    Rig_Wait(8000);
    for (unsigned i = 0; i < sent; i++) {
        snprintf(id, sizeof(id), "c%015u", i);
        Rig_Record("job %s: sent at %.3f, answered %u at %.3f, started %u "
                   "times %s",
                   id, (double)calls[i].sent_ms / 1000, calls[i].status,
                   (double)calls[i].answered_ms / 1000, Rig_Starts(id),
                   calls[i].body);
        if (calls[i].status == 503 || calls[i].status == 429) {
            refused++;
            ran += Rig_Starts(id) > 0 ? 1 : 0;
        }
    }
    Rig_Record("%u jobs sent, %u refused, of which %u ran", sent, refused,
               ran);
    Rig_Record("verdict: %s", ran > 0 ? "REFUSED is broken" : "REFUSED held");
    Rig_Stop();
    return ran > 0 ? RIG_BROKEN : RIG_HELD;
}
