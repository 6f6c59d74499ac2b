/* Checks of what callers submit. */
#ifndef SR_JOB_SPEC_H
#define SR_JOB_SPEC_H

#include <stdbool.h>

#include "placer.h"
#include "sassafrasrelay.pb-c.h"

/* Largest payload of a job, bytes. */
#define SR_JOB_PAYLOAD_MAX_BYTES (64 * 1024)

/* NULL if the submission is well formed; else the name of the field at fault,
 * with a sentence that names value and range in `text`. */
const char *SrJobSpec_Check(const Sr__SubmitRequest *request, char *text,
                            size_t size);

/* The resources that the placer counts. */
struct SrDemand SrJobSpec_Demand(const Sr__JobSpec *spec);

/* Hash by which a repeated submission is told from another one. */
uint64_t SrJobSpec_Hash(const Sr__JobSpec *spec);

/* True for a state from which a job does not return. */
bool SrJobSpec_IsFinal(Sr__JobState state);

/* Name of the state, as shown to people. */
const char *SrJobSpec_StateName(Sr__JobState state);

#endif
