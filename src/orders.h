/* Orders to workers and to the advisor, and their answers.
 *
 * The engine makes orders; a binding carries them out and hands the answers
 * back. Texts in an order are valid until the next call of the engine. */
#ifndef SR_ORDERS_H
#define SR_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.h"

/* Workers named in one question to the advisor. */
#define SR_ADVICE_WORKERS_MAX 100

enum SrOrderKind {
    /* Extend the lease and read both lists. */
    SR_ORDER_LOOK,
    SR_ORDER_START,
    SR_ORDER_STOP,
    SR_ORDER_ADVISE,
};

struct SrOrder {
    enum SrOrderKind kind;
    /* Worker's id, and the address to which the order goes. */
    char worker[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    /* Fencing token. */
    uint64_t term;
    int64_t timeout_ms;
    union {
        struct {
            /* On the worker's clock; 0 leaves the lease as it is. */
            int64_t deadline_ms;
            uint64_t acked;
            int64_t wait_ms;
        } look;
        struct {
            char task[SR_TASK_NAME_SIZE];
            uint32_t run;
            const char *payload;
            int64_t deadline_ms;
            char checkpoint[SR_CHECKPOINT_SIZE];
            char ticket[SR_ID_SIZE];
        } start;
        struct {
            char task[SR_TASK_NAME_SIZE];
            uint32_t run;
        } stop;
        struct {
            char step[SR_TASK_NAME_SIZE];
            char workers[SR_ADVICE_WORKERS_MAX][SR_ID_SIZE];
            size_t count;
        } advise;
    } u;
};

enum SrOrderResult {
    SR_ORDER_DONE,
    /* Sent, and no whole answer came; it may be carried out later. */
    SR_ORDER_SILENT,
    /* Not sent, or turned away by an unhealthy worker; nothing was done. */
    SR_ORDER_NOT_DONE,
    /* A worker has seen a higher fencing token. */
    SR_ORDER_FENCED,
    /* The run is not higher than one that ended or was stopped there. */
    SR_ORDER_OLD,
    /* The lease in the order had passed. */
    SR_ORDER_LATE,
    /* The worker has no room. */
    SR_ORDER_NO_ROOM,
    /* The advice ticket does not hold. */
    SR_ORDER_NO_TICKET,
    /* Another life of the worker answers at the address. */
    SR_ORDER_OTHER_LIFE,
    /* The worker takes the order for malformed. */
    SR_ORDER_INVALID,
};

enum SrRunEnd {
    SR_RUN_DONE,
    SR_RUN_FAILED,
    SR_RUN_STOPPED,
    SR_RUN_LAPSED,
    /* Another member of the gang ended. */
    SR_RUN_BROKEN,
    /* The other members of the gang did not come in time. */
    SR_RUN_ALONE,
};

struct SrRunningReport {
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    char checkpoint[SR_CHECKPOINT_SIZE];
    int percent;
};

struct SrEndedReport {
    /* Counts the ends of one life of the worker. */
    uint64_t number;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    enum SrRunEnd how;
    char checkpoint[SR_CHECKPOINT_SIZE];
};

struct SrAdvised {
    char worker[SR_ID_SIZE];
    char ticket[SR_ID_SIZE];
};

struct SrOrderAnswer {
    enum SrOrderResult result;
    /* The worker's clock; -1 if the answer has none. */
    int64_t clock_ms;
    /* Start of the worker's life, ms since 1970; 0 if not told. */
    int64_t born;
    struct SrRunningReport *running;
    size_t running_count;
    struct SrEndedReport *ended;
    size_t ended_count;
    struct SrAdvised *advised;
    size_t advised_count;
    int64_t validity_ms;
};

const char *SrOrder_ResultText(enum SrOrderResult result);
const char *SrRun_EndText(enum SrRunEnd end);

#endif
