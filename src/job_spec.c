#include "job_spec.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec.h"
#include "util.h"

#define CORES_MAX 1024
#define MEMORY_MAX_MB 16777216

static const char *const state_names[] = {
    [SR__JOB_STATE__JOB_UNSPECIFIED] = "unspecified",
    [SR__JOB_STATE__JOB_QUEUED] = "queued",
    [SR__JOB_STATE__JOB_PLACED] = "placed",
    [SR__JOB_STATE__JOB_FINISHED] = "finished",
    [SR__JOB_STATE__JOB_FAILED] = "failed",
    [SR__JOB_STATE__JOB_CANCELLED] = "cancelled",
    [SR__JOB_STATE__JOB_OUTCOME_UNKNOWN] = "outcome-unknown",
};

/* Returns true if the value is in the range; otherwise writes a message to
 * `text`. */
static bool
check_range(unsigned value, unsigned low, unsigned high, const char *name,
            char *text, size_t size)
{
    if (value >= low && value <= high) {
        return true;
    }
    snprintf(text, size, "%s is %u; allowed are %u to %u", name, value, low,
             high);
    return false;
}

const char *
SrJobSpec_Check(const Sr__SubmitRequest *request, char *text, size_t size)
{
    const Sr__JobSpec *spec = request->spec;
    if (!SrUtil_IsId(request->idempotency_key)) {
        snprintf(text, size,
                 "idempotency_key must be 1 to 64 characters of "
                 "[A-Za-z0-9._-]");
        return "idempotency_key";
    }
    if (spec == NULL) {
        snprintf(text, size, "spec is missing");
        return "spec";
    }
    if (!check_range(spec->tasks, 1, SR_PLACER_TASKS_MAX, "tasks", text,
                     size)) {
        return "tasks";
    }
    if (spec->accelerators_per_task != 0 &&
        (!SrCells_IsSize(spec->accelerators_per_task) ||
         spec->accelerators_per_task > SR_CELLS_WORKER_SIZE)) {
        snprintf(text, size,
                 "accelerators_per_task is %u; allowed are 0, 1, 2, 4 and 8",
                 spec->accelerators_per_task);
        return "accelerators_per_task";
    }
    if (!check_range(spec->cores_per_task, 1, CORES_MAX, "cores_per_task",
                     text, size)) {
        return "cores_per_task";
    }
    if (!check_range(spec->memory_mb_per_task, 1, MEMORY_MAX_MB,
                     "memory_mb_per_task", text, size)) {
        return "memory_mb_per_task";
    }
    if (spec->payload.len > SR_JOB_PAYLOAD_MAX_BYTES) {
        snprintf(text, size, "payload has %zu bytes; allowed are %d",
                 spec->payload.len, SR_JOB_PAYLOAD_MAX_BYTES);
        return "payload";
    }
    return NULL;
}

struct SrDemand
SrJobSpec_Demand(const Sr__JobSpec *spec)
{
    return (struct SrDemand){
        .tasks = spec->tasks,
        .accelerators = spec->accelerators_per_task,
        .cores = spec->cores_per_task,
        .memory_mb = spec->memory_mb_per_task,
    };
}

uint64_t
SrJobSpec_Hash(const Sr__JobSpec *spec)
{
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer) uint8_t *data = SrCodec_Pack(spec, &size);
    return SrUtil_Hash(data, size, 0);
}

bool
SrJobSpec_IsFinal(Sr__JobState state)
{
    switch (state) {
    case SR__JOB_STATE__JOB_FINISHED:
    case SR__JOB_STATE__JOB_FAILED:
    case SR__JOB_STATE__JOB_CANCELLED:
    case SR__JOB_STATE__JOB_OUTCOME_UNKNOWN:
        return true;
    default:
        return false;
    }
}

const char *
SrJobSpec_StateName(Sr__JobState state)
{
    return (size_t)state < SR_LENGTH(state_names) ? state_names[state] : "?";
}
