/* Handles callers' requests: submissions, cancellations and queries.
 *
 * A submission is accepted only once the job is stored, and is refused only if
 * it is certain that the job was not stored and will not be. */
#ifndef SR_INTAKE_H
#define SR_INTAKE_H

#include "catalog.h"
#include "flow.h"
#include "kernel.h"
#include "rows.h"

struct SrIntake;

enum SrRequestKind {
    SR_REQUEST_SUBMIT,
    /* Query of a job's status. If the path ends with the queue's prefix, the
     * request is handled as SR_REQUEST_COUNT. */
    SR_REQUEST_STATE,
    SR_REQUEST_CANCEL,
    /* Query of the number of waiting jobs of a queue. */
    SR_REQUEST_COUNT,
    /* Any other method. */
    SR_REQUEST_UNSUPPORTED,
};

struct SrRequest {
    enum SrRequestKind kind;
    const char *host;
    const char *path;
    /* API key of a client account; NULL if the caller sent none. */
    const char *key;
    /* Submission: the job with its payload, steps and schedule; NULL if the
     * body is malformed. Freed by SrIntake_Handle. */
    Sr__FlowRecord *record;
    /* Description of the error in a malformed body, or NULL. */
    const char *body_error;
    /* Time for which the caller waits for the response, ms, counted from the
     * call of SrIntake_Handle. */
    int64_t deadline_ms;
};

enum SrResultKind {
    SR_RESULT_ACCEPTED,
    SR_RESULT_STATE,
    SR_RESULT_CANCELLED,
    SR_RESULT_COUNT,
    SR_RESULT_NO_QUEUE,
    SR_RESULT_NO_JOB,
    SR_RESULT_BAD_KEY,
    SR_RESULT_MALFORMED,
    SR_RESULT_UNSUPPORTED,
    /* The request had no effect and will have none; the caller may retry. */
    SR_RESULT_REFUSED,
    /* The request may have taken effect, or may do so later. */
    SR_RESULT_UNKNOWN,
};

struct SrResult {
    enum SrResultKind kind;
    /* SR_RESULT_STATE: the job's status. */
    Sr__FlowStatus state;
    /* SR_RESULT_COUNT: number of waiting jobs. */
    unsigned waiting;
    /* Time after which the caller should repeat the request, s; 0 if not
     * specified. */
    unsigned retry_after_s;
    /* Human-readable reason, or NULL. */
    const char *text;
};

/* Receives the result of a request; `result` is valid only during the call. */
typedef void SrIntake_Done(void *context, const struct SrResult *result);

struct SrIntakeOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    /* Returns the configuration in force, or NULL if none is loaded yet. */
    const struct SrCatalog *(*catalog)(void *context);
    /* Age of the configuration, ms: time since a response of the store last
     * showed that it is current. */
    int64_t (*catalog_age_ms)(void *context);
    /* Largest value of a row, bytes; 0 for no limit. Jobs whose record or
     * progress may exceed it are rejected. */
    size_t value_max;
    void *context;
};

struct SrIntake *SrIntake_Create(const struct SrIntakeOptions *options);

/* Drops the requests in progress without calling their `done` functions. No
 * call to the store may complete afterwards, because its callback would use a
 * dropped request: cancel all calls of `rows` before. */
void SrIntake_Destroy(struct SrIntake *intake);

/* Returns false if the intake has refused requests for so long, because of the
 * store or the configuration, that callers are better served by others. */
bool SrIntake_IsReady(const struct SrIntake *intake);

/* Sets the time, ms of the monotonic clock, at which the process ends:
 * requests make no call to the store that cannot complete before it. */
void SrIntake_Close(struct SrIntake *intake, int64_t end_ms);

/* Finishes all requests in progress: with SR_RESULT_UNKNOWN those of which a
 * write may take effect, with SR_RESULT_REFUSED the others. No call to the
 * store may complete afterwards; see SrIntake_Destroy. */
void SrIntake_GiveUp(struct SrIntake *intake);

/* Handles a request and passes its result to `done`, before this function
 * returns or later. `request` and its texts are not used after the return. */
void SrIntake_Handle(struct SrIntake *intake, struct SrRequest *request,
                     SrIntake_Done *done, void *context);

/* Returns the result's name in the log and the metrics. */
const char *SrIntake_ResultText(enum SrResultKind kind);

#endif
