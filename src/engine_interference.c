#include <stdio.h>

#include "engine_state.h"

const char *
SrEngine_ImageOf(const struct SrFlowTask *task,
                 char buffer[SR_ENGINE_IMAGE_SIZE])
{
    const char *image = SrFlow_StepOf(task)->image;
    if (image[0] != '\0') {
        return image;
    }
    snprintf(buffer, SR_ENGINE_IMAGE_SIZE, "%.64s/%u",
             task->flow->record->queue, task->step);
    return buffer;
}

void
SrEngine_ObserveInterference(struct SrEngine *engine,
                             const struct SrWorker *worker, int64_t now_ms)
{
    struct SrInterferenceRun runs[SR_INTERFERENCE_RUNS_MAX];
    char buffers[SR_INTERFERENCE_RUNS_MAX][SR_ENGINE_IMAGE_SIZE];
    size_t count = 0;
    bool disturbed = false;
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (count == SR_INTERFERENCE_RUNS_MAX) {
            break;
        }
        if (run->listed_by_poll != engine->poll_number) {
            continue;
        }
        runs[count] = (struct SrInterferenceRun){
            .image = SrEngine_ImageOf(run->task, buffers[count]),
            .track = &run->interference,
            .percent = run->percent,
            .figure = run->figure,
            .serving = run->step->latency_target_ms > 0,
        };
        disturbed |= SrEngine_IsThrottled(run);
        count++;
    }
    SrInterference_Observe(&engine->interference, runs, count, disturbed,
                           now_ms);
}
