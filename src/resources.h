/* Amounts of the resources that tasks need and workers have. */
#ifndef SR_RESOURCES_H
#define SR_RESOURCES_H

#include <stdbool.h>
#include <stdint.h>

/* Number of cores that count as much as one accelerator in the platform's cost
 * of lost work. */
#define SR_CORES_PER_ACCELERATOR 8

struct SrResources {
    /* Thousandths of a core. */
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t accelerators;
};

/* Adds `times` times the resources; subtracts if `times` is negative. */
static inline void
SrResources_Add(struct SrResources *to, const struct SrResources *resources,
                int64_t times)
{
    to->cpu_millis += times * resources->cpu_millis;
    to->memory_mb += times * resources->memory_mb;
    to->accelerators += times * resources->accelerators;
}

/* Returns true if the resources are contained in `in`. */
static inline bool
SrResources_AreWithin(const struct SrResources *resources,
                      const struct SrResources *in)
{
    return resources->cpu_millis <= in->cpu_millis &&
           resources->memory_mb <= in->memory_mb &&
           resources->accelerators <= in->accelerators;
}

#endif
