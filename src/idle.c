#include "idle.h"

#include "log.h"

/* Writes a line with the fields that all reasons have and those in `format`.
 */
#define LOG_IDLE(reason, format, ...)                                         \
    SR_INFO("plan", "idle",                                                   \
            "id=%s step=%u tasks=%u idle-ms=%ld reason=" reason format,       \
            flow->id, step, tasks, idle_ms __VA_OPT__(, ) __VA_ARGS__)

void
SrIdle_Log(struct SrFlow *flow, uint32_t step, uint32_t tasks,
           const struct SrIdleCause *cause, int64_t now_ms)
{
    long idle_ms = (long)(now_ms - flow->active_ms);
    uint32_t bit = 1U << cause->reason;
    flow->explains_idle = false;
    if ((flow->idle_reasons_logged & bit) != 0) {
        return;
    }
    flow->idle_reasons_logged |= bit;
    switch (cause->reason) {
    case SR_IDLE_LATE_START:
        LOG_IDLE("late-start", " index=%u run=%u worker=%s left-ms=%ld",
                 cause->u.late_start.index, cause->u.late_start.run,
                 cause->u.late_start.worker,
                 (long)cause->u.late_start.left_ms);
        break;
    case SR_IDLE_UNKNOWN_RUN:
        LOG_IDLE("unknown-run", " index=%u runs=%u",
                 cause->u.unknown_run.index, cause->u.unknown_run.runs);
        break;
    case SR_IDLE_ACCOUNT_LIMIT:
        LOG_IDLE("account-limit", " account=%s fit=%u",
                 cause->u.account_limit.account, cause->u.account_limit.fit);
        break;
    case SR_IDLE_RACK:
        LOG_IDLE("rack", " rack=%s fit=%u left-ms=%ld", cause->u.rack.rack,
                 cause->u.rack.fit, (long)cause->u.rack.left_ms);
        break;
    case SR_IDLE_RESERVED:
        LOG_IDLE("reserved", " fit=%u fit-without=%u for=%s",
                 cause->u.reserved.fit, cause->u.reserved.fit_without,
                 cause->u.reserved.job);
        break;
    case SR_IDLE_HEADROOM:
        LOG_IDLE("headroom", " fit=%u empty=%u headroom=%u",
                 cause->u.headroom.fit, cause->u.headroom.empty,
                 cause->u.headroom.headroom);
        break;
    case SR_IDLE_GUARANTEES:
        LOG_IDLE("guarantees", " fit=%u fit-there=%u", cause->u.guarantees.fit,
                 cause->u.guarantees.fit_there);
        break;
    case SR_IDLE_APART:
        LOG_IDLE("kept-apart", " fit=%u fit-there=%u workers=%u worker=%s",
                 cause->u.workers.fit, cause->u.workers.fit_there,
                 cause->u.workers.workers, cause->u.workers.worker);
        break;
    case SR_IDLE_AVOIDED:
        LOG_IDLE("avoided", " fit=%u fit-there=%u workers=%u worker=%s",
                 cause->u.workers.fit, cause->u.workers.fit_there,
                 cause->u.workers.workers, cause->u.workers.worker);
        break;
    case SR_IDLE_UNUSABLE:
        LOG_IDLE("unusable", " fit=%u fit-there=%u workers=%u worker=%s",
                 cause->u.workers.fit, cause->u.workers.fit_there,
                 cause->u.workers.workers, cause->u.workers.worker);
        break;
    case SR_IDLE_SHORTAGE:
        LOG_IDLE("shortage", " resource=%s needed=%ld free=%ld fit=%u",
                 cause->u.shortage.resource, (long)cause->u.shortage.needed,
                 (long)cause->u.shortage.free, cause->u.shortage.fit);
        break;
    case SR_IDLE_NOT_PLACED:
        LOG_IDLE("not-placed", "");
        break;
    case SR_IDLE_UNCONFIRMED:
        LOG_IDLE("leader-unconfirmed", " unconfirmed-ms=%ld writable=%d",
                 (long)cause->u.unconfirmed.unconfirmed_ms,
                 cause->u.unconfirmed.writable);
        break;
    case SR_IDLE_UNWRITTEN:
        LOG_IDLE("unwritten", " runs=%u worker=%s", cause->u.runs.runs,
                 cause->u.runs.worker);
        break;
    case SR_IDLE_UNSENT:
        LOG_IDLE("unsent", " runs=%u worker=%s", cause->u.runs.runs,
                 cause->u.runs.worker);
        break;
    case SR_IDLE_UNANSWERED:
        LOG_IDLE("unanswered", " runs=%u worker=%s", cause->u.runs.runs,
                 cause->u.runs.worker);
        break;
    case SR_IDLE_STOPPING:
        LOG_IDLE("stopping", " runs=%u worker=%s", cause->u.runs.runs,
                 cause->u.runs.worker);
        break;
    case SR_IDLE_CLAIMED:
        LOG_IDLE("claimed", " workers=%u left-ms=%ld", cause->u.claim.workers,
                 (long)cause->u.claim.left_ms);
        break;
    }
}
