/* Commands from the engine to workers and to the advisor, and their responses.
 *
 * The engine creates commands; an adapter sends them and passes the responses
 * back. The texts that a command points to are valid until the next call of
 * an engine function. */
#ifndef SR_COMMANDS_H
#define SR_COMMANDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.h"

/* Maximum number of workers named in one request to the advisor. */
#define SR_ADVICE_WORKERS_MAX 100

enum SrCommandKind {
    /* Status poll: extends the worker's lease, and returns its running and its
     * terminated runs. */
    SR_COMMAND_POLL,
    SR_COMMAND_START,
    SR_COMMAND_STOP,
    /* Sets the share at which a run may work, and disturb others. */
    SR_COMMAND_PACE,
    /* Asks the advisor which workers may run a step. Not sent by the engine.
     */
    SR_COMMAND_ADVISE,
};

struct SrCommand {
    enum SrCommandKind kind;
    /* Id of the worker, and the host:port to which the command is sent; both
     * unused for SR_COMMAND_ADVISE. */
    char worker[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    /* Term of the leader; not sent along. */
    uint64_t term;
    /* A worker does nothing for a token that is lower than one that its
     * incarnation has received. */
    uint64_t fencing_token;
    int64_t timeout_ms;
    /* When the leader sent the command, by its clock; not sent along. */
    int64_t sent_ms;
    union {
        struct {
            /* Lease deadline on the worker's clock; 0 leaves the lease
             * unchanged. */
            int64_t deadline_ms;
            /* The worker may delete terminated runs up to this number; 0 for
             * none. */
            uint64_t acked_through;
            /* How long the worker may wait for a run to terminate before it
             * responds; 0 for a quick poll. */
            int64_t wait_ms;
        } poll;
        struct {
            char task[SR_TASK_NAME_SIZE];
            uint32_t run;
            const char *payload;
            /* Lease deadline on the worker's clock. */
            int64_t deadline_ms;
            /* Checkpoint to continue from; empty if none. */
            char checkpoint[SR_CHECKPOINT_SIZE];
            /* Advice ticket; empty if none. */
            char ticket[SR_ID_SIZE];
        } start;
        struct {
            char task[SR_TASK_NAME_SIZE];
            uint32_t run;
        } stop;
        struct {
            char task[SR_TASK_NAME_SIZE];
            uint32_t run;
            /* 0 to 100; 100 at the start of each run. */
            int percent;
        } pace;
        struct {
            char step[SR_TASK_NAME_SIZE];
            char workers[SR_ADVICE_WORKERS_MAX][SR_ID_SIZE];
            size_t count;
        } advise;
    } u;
};

enum SrCommandResult {
    SR_COMMAND_DONE,
    /* Sent, but no complete response came; the command may still be executed
     * later. */
    SR_COMMAND_NO_RESPONSE,
    /* Not sent, or refused by an unhealthy worker; it is not executed. */
    SR_COMMAND_NOT_EXECUTED,
    /* The worker has received a higher fencing token. */
    SR_COMMAND_FENCED,
    /* The run's number is not higher than that of a run of the task that ended
     * or was stopped on the worker. */
    SR_COMMAND_OLD_RUN,
    /* The command arrived after its lease deadline. */
    SR_COMMAND_LEASE_PASSED,
    /* The worker does not have the resources free. */
    SR_COMMAND_NO_CAPACITY,
    /* The advice ticket is not valid. */
    SR_COMMAND_BAD_TICKET,
    /* The process at the address is not the worker with the command's id. */
    SR_COMMAND_OTHER_INCARNATION,
    /* The worker considers the command malformed. */
    SR_COMMAND_INVALID,
};

enum SrRunOutcome {
    SR_RUN_DONE,
    SR_RUN_FAILED,
    /* Stopped by a command, or known not to have been started. */
    SR_RUN_STOPPED,
    /* The worker's lease expired, the worker restarted, or a status poll no
     * longer listed the run. */
    SR_RUN_LAPSED,
    /* Another member of the gang ended. */
    SR_RUN_GANG_ENDED,
    /* The other members of the gang did not start in time. */
    SR_RUN_GANG_TIMEOUT,
};

struct SrRunningReport {
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    /* Latest checkpoint; empty if none. */
    char checkpoint[SR_CHECKPOINT_SIZE];
    /* Progress in percent. */
    int percent;
    /* Rough figure for the last half second: the tail of a serving task's
     * response times, ms; for any other task, the processor time in use,
     * thousandths of a core. -1 if unknown. */
    int figure;
};

struct SrTerminatedReport {
    /* Counts the terminated runs of the worker's incarnation, from 1. */
    uint64_t number;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    enum SrRunOutcome outcome;
    /* Latest checkpoint; empty if none. */
    char checkpoint[SR_CHECKPOINT_SIZE];
};

/* A worker that the advisor allows to run the step. */
struct SrAdvisedWorker {
    char worker[SR_ID_SIZE];
    char ticket[SR_ID_SIZE];
};

/* Response to a command. The lists are valid only while the response is being
 * handled. */
struct SrCommandResponse {
    enum SrCommandResult result;
    /* The worker's clock, ms; -1 if the response has none. */
    int64_t clock_ms;
    /* Start of the worker's incarnation, ms since 1970; 0 if the response does
     * not have it. */
    int64_t incarnation;
    struct SrRunningReport *running;
    size_t running_count;
    struct SrTerminatedReport *terminated;
    size_t terminated_count;
    /* `terminated` may be incomplete: the worker lists further terminated runs
     * once these are acknowledged, so a run in neither list may be one of
     * them. `running` is always complete. */
    bool has_more_terminated;
    struct SrAdvisedWorker *advised;
    size_t advised_count;
    /* Time for which the advice is valid, ms. */
    int64_t validity_ms;
};

/* Return the short code that stands for the value in the log. */
const char *SrCommand_ResultText(enum SrCommandResult result);
const char *SrRun_OutcomeText(enum SrRunOutcome outcome);

#endif
