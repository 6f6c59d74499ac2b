#include "shutdown.h"

#include "log.h"
#include "os.h"

/* Interval at which the progress of the shutdown is checked. */
#define TICK_MS 50
/* Time for which the last accepted connections are still served, so that their
 * requests can arrive. The round trip between regions takes 60 ms. */
#define LINGER_MS 150

/* Returns true if neither a request nor other work is in progress. */
static bool
is_idle(const struct SrShutdown *shutdown)
{
    return SrHttpServer_InProgress(shutdown->options.server) == 0 &&
           shutdown->options.is_idle(shutdown->options.context);
}

static void
end_loop(const struct SrShutdown *shutdown, bool idle, int64_t age_ms)
{
    const struct SrHttpServer *server = shutdown->options.server;
    struct SrHttpServerCounts counts = SrHttpServer_Count(server);
    SR_INFO("shutdown", "stopped",
            "idle=%d after-ms=%ld in-progress=%lu half-received=%lu "
            "no-response=%lu connections=%lu listener-closed-after-ms=%ld",
            idle, (long)age_ms, (unsigned long)SrHttpServer_InProgress(server),
            (unsigned long)counts.receiving, (unsigned long)counts.handled,
            (unsigned long)counts.connections,
            shutdown->listener_closed_ms != 0
                ? (long)(shutdown->listener_closed_ms - shutdown->begun_ms)
                : -1L);
    ev_break(shutdown->options.kernel->loop, EVBREAK_ALL);
}

static void
on_tick(void *context)
{
    struct SrShutdown *shutdown = context;
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t age_ms = now_ms - shutdown->begun_ms;
    bool idle = is_idle(shutdown);
    if (age_ms >= shutdown->options.limit_ms) {
        end_loop(shutdown, idle, age_ms);
        return;
    }
    if (age_ms < shutdown->options.unready_ms) {
        return;
    }
    if (shutdown->listener_closed_ms == 0) {
        SrHttpServer_StopListening(shutdown->options.server);
        shutdown->listener_closed_ms = now_ms;
        return;
    }
    if (idle && now_ms - shutdown->listener_closed_ms >= LINGER_MS) {
        end_loop(shutdown, idle, age_ms);
    }
}

void
SrShutdown_Begin(struct SrShutdown *shutdown,
                 const struct SrShutdownOptions *options)
{
    *shutdown = (struct SrShutdown){
        .options = *options,
        .begun_ms = SrOs_MonotonicMs(),
    };
    options->kernel->stopping = true;
    SrTimer_Start(&shutdown->tick, options->kernel, 0, TICK_MS, on_tick,
                  shutdown);
}

void
SrShutdown_Cancel(struct SrShutdown *shutdown)
{
    SrTimer_Stop(&shutdown->tick);
}
