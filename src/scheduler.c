#include "scheduler.h"

#include "config_change.h"
#include "daemon.h"
#include "jobs.h"
#include "leadership.h"
#include "store.h"
#include "vms.h"
#include "workers.h"

struct Scheduler {
    struct SrStore *store;
    struct SrLeadership *leadership;
    struct SrWorkers *workers;
    struct SrJobs *jobs;
    struct SrConfigChange *config_change;
    struct SrVms *vms;
};

static bool
start(void *context, struct SrDaemon *daemon)
{
    struct Scheduler *scheduler = context;
    struct SrKernel *kernel = SrDaemon_Kernel(daemon);
    struct SrHttpClient *http = SrDaemon_Http(daemon);
    scheduler->store = SrStore_Create(kernel, http);
    scheduler->leadership = SrLeadership_Create(kernel);
    scheduler->workers = SrWorkers_Create(kernel, http);
    scheduler->jobs = SrJobs_Create(kernel);
    scheduler->config_change = SrConfigChange_Create(kernel);
    scheduler->vms = SrVms_Create(kernel, http);
    return true;
}

static void
stop(void *context)
{
    struct Scheduler *scheduler = context;
    SrVms_Destroy(scheduler->vms);
    SrConfigChange_Destroy(scheduler->config_change);
    SrJobs_Destroy(scheduler->jobs);
    SrWorkers_Destroy(scheduler->workers);
    SrLeadership_Destroy(scheduler->leadership);
    SrStore_Destroy(scheduler->store);
}

static bool
is_ready(void *context)
{
    const struct Scheduler *scheduler = context;
    return SrStore_IsReachable(scheduler->store);
}

static bool
is_idle(void *context)
{
    const struct Scheduler *scheduler = context;
    return SrStore_InDoubtCount(scheduler->store) == 0;
}

int
SrScheduler_Run(const struct SrSettings *settings)
{
    struct Scheduler scheduler = {0};
    return SrDaemon_Run(&(struct SrDaemonOptions){
        .settings = settings,
        .role = SR__ROLE__ROLE_SCHEDULER,
        /* No limit. Each worker occupies one connection with its long poll,
         * and many workers may have the same address. */
        .connections_per_host = 0,
        .is_ready = is_ready,
        .is_idle = is_idle,
        .start = start,
        .stop = stop,
        .context = &scheduler,
    });
}
