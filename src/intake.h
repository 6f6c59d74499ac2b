/* Takes callers' requests: submits, cancels and questions.
 *
 * A submit is answered with success only once the job is stored, and with a
 * refusal only if it is certain that it was not and will not be. */
#ifndef SR_INTAKE_H
#define SR_INTAKE_H

#include "catalog.h"
#include "flow.h"
#include "kernel.h"
#include "rows.h"

struct SrIntake;

enum SrRequestKind {
    SR_REQUEST_SUBMIT,
    SR_REQUEST_STATE,
    SR_REQUEST_CANCEL,
    /* How many jobs of a queue wait. */
    SR_REQUEST_COUNT,
    /* Neither of these. */
    SR_REQUEST_UNSUPPORTED,
};

struct SrRequest {
    enum SrRequestKind kind;
    const char *host;
    const char *path;
    /* Key of a client account; NULL if the caller sent none. */
    const char *key;
    /* Submit: the job, with payload, steps and schedule; taken over. NULL if
     * the body is malformed. */
    Sr__FlowRecord *record;
    /* What is wrong with the body, or NULL. */
    const char *fault;
    /* Time that the caller waits, ms. */
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
    /* Not done, and will not be. */
    SR_RESULT_REFUSED,
    /* It may have been done, or be done later. */
    SR_RESULT_UNKNOWN,
};

struct SrResult {
    enum SrResultKind kind;
    Sr__FlowStatus state;
    unsigned waiting;
    /* When the caller should come back, s; 0 if not told. */
    unsigned retry_after_s;
    /* What is wrong, for a person. */
    const char *text;
};

typedef void SrIntake_Done(void *context, const struct SrResult *result);

struct SrIntakeOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    /* The configuration in force, or NULL, and its age in ms. */
    const struct SrCatalog *(*catalog)(void *context);
    int64_t (*catalog_age_ms)(void *context);
    void *context;
};

struct SrIntake *SrIntake_Create(const struct SrIntakeOptions *options);
void SrIntake_Destroy(struct SrIntake *intake);

/* Answers by `done`, at once or later. */
void SrIntake_Handle(struct SrIntake *intake, struct SrRequest *request,
                     SrIntake_Done *done, void *context);

const char *SrIntake_ResultText(enum SrResultKind kind);

#endif
