/* Validation of job submissions, and helpers for job specs and states. */
#ifndef SR_JOB_SPEC_H
#define SR_JOB_SPEC_H

#include <stdbool.h>

#include "placer.h"
#include "sassafrasrelay.pb-c.h"

#define SR_JOB_PAYLOAD_MAX_BYTES (64 * 1024)

/* Returns NULL if the submission is valid. Otherwise returns the name of the
 * invalid field, a static string, and writes an explanation to `text`, a
 * buffer of `size` bytes. */
const char *SrJobSpec_Check(const Sr__SubmitRequest *request, char *text,
                            size_t size);

/* Returns the resources that the job requests. */
struct SrDemand SrJobSpec_Demand(const Sr__JobSpec *spec);

/* Returns a hash of the spec. It distinguishes a repeated submission from a
 * different one with the same idempotency key. */
uint64_t SrJobSpec_Hash(const Sr__JobSpec *spec);

/* Returns true if a job never leaves this state. */
bool SrJobSpec_IsFinal(Sr__JobState state);

/* Returns the name of the state as a static string; "?" for an unknown one. */
const char *SrJobSpec_StateName(Sr__JobState state);

#endif
