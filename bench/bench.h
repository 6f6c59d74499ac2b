/* Output format of the benchmarks, one row for each measured value:
 * "name value unit bound ok|MISS". Without a bound, the last two are "-". */
#ifndef BENCH_H
#define BENCH_H

#include <stdio.h>

/* Bound that a value is compared with. */
enum BenchBound {
    BENCH_NO_BOUND,
    BENCH_AT_MOST,
    BENCH_AT_LEAST,
};

/* Prints a row. `bound` is ignored with BENCH_NO_BOUND. */
static inline void
Bench_Row(const char *name, double value, const char *unit,
          enum BenchBound kind, double bound)
{
    switch (kind) {
    case BENCH_NO_BOUND:
        printf("%-46s %12.4g %-8s %10s -\n", name, value, unit, "-");
        break;
    case BENCH_AT_MOST:
        printf("%-46s %12.4g %-8s <=%8.4g %s\n", name, value, unit, bound,
               value <= bound ? "ok" : "MISS");
        break;
    case BENCH_AT_LEAST:
        printf("%-46s %12.4g %-8s >=%8.4g %s\n", name, value, unit, bound,
               value >= bound ? "ok" : "MISS");
        break;
    }
    fflush(stdout);
}

#endif
