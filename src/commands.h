/* Orders to workers and to the advisor, and their answers.
 *
 * The engine makes orders; a binding carries them out and hands the answers
 * back. Texts in an order are valid until the next call of the engine. */
#ifndef SR_COMMANDS_H
#define SR_COMMANDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.h"

/* Workers named in one question to the advisor. */
#define SR_ADVICE_WORKERS_MAX 100

enum SrCommandKind {
    /* Extend the lease and read both lists. */
    SR_COMMAND_POLL,
    SR_COMMAND_START,
    SR_COMMAND_STOP,
    SR_COMMAND_ADVISE,
};

struct SrCommand {
    enum SrCommandKind kind;
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
            uint64_t acked_through;
            int64_t wait_ms;
        } poll;
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

enum SrCommandResult {
    SR_COMMAND_DONE,
    /* Sent, and no whole answer came; it may be carried out later. */
    SR_COMMAND_NO_RESPONSE,
    /* Not sent, or turned away by an unhealthy worker; nothing was done. */
    SR_COMMAND_NOT_EXECUTED,
    /* A worker has seen a higher fencing token. */
    SR_COMMAND_FENCED,
    /* The run is not higher than one that ended or was stopped there. */
    SR_COMMAND_OLD_RUN,
    /* The lease in the order had passed. */
    SR_COMMAND_LEASE_PASSED,
    /* The worker has no room. */
    SR_COMMAND_NO_CAPACITY,
    /* The advice ticket does not hold. */
    SR_COMMAND_BAD_TICKET,
    /* Another life of the worker answers at the address. */
    SR_COMMAND_OTHER_INCARNATION,
    /* The worker takes the order for malformed. */
    SR_COMMAND_INVALID,
};

enum SrRunOutcome {
    SR_RUN_DONE,
    SR_RUN_FAILED,
    SR_RUN_STOPPED,
    SR_RUN_LAPSED,
    /* Another member of the gang ended. */
    SR_RUN_GANG_ENDED,
    /* The other members of the gang did not come in time. */
    SR_RUN_GANG_TIMEOUT,
};

struct SrRunningReport {
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    char checkpoint[SR_CHECKPOINT_SIZE];
    int percent;
};

struct SrTerminatedReport {
    /* Counts the ends of one life of the worker. */
    uint64_t number;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    enum SrRunOutcome outcome;
    char checkpoint[SR_CHECKPOINT_SIZE];
};

struct SrAdvisedWorker {
    char worker[SR_ID_SIZE];
    char ticket[SR_ID_SIZE];
};

struct SrCommandResponse {
    enum SrCommandResult result;
    /* The worker's clock; -1 if the answer has none. */
    int64_t clock_ms;
    /* Start of the worker's life, ms since 1970; 0 if not told. */
    int64_t incarnation;
    struct SrRunningReport *running;
    size_t running_count;
    struct SrTerminatedReport *terminated;
    size_t terminated_count;
    struct SrAdvisedWorker *advised;
    size_t advised_count;
    int64_t validity_ms;
};

const char *SrCommand_ResultText(enum SrCommandResult result);
const char *SrRun_OutcomeText(enum SrRunOutcome end);

#endif
