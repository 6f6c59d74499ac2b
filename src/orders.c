#include "orders.h"

static const char *const result_texts[] = {
    [SR_ORDER_DONE] = "done",
    [SR_ORDER_SILENT] = "silent",
    [SR_ORDER_NOT_DONE] = "not-done",
    [SR_ORDER_FENCED] = "fenced",
    [SR_ORDER_OLD] = "old",
    [SR_ORDER_LATE] = "late",
    [SR_ORDER_NO_ROOM] = "no-room",
    [SR_ORDER_NO_TICKET] = "no-ticket",
    [SR_ORDER_OTHER_LIFE] = "other-life",
    [SR_ORDER_INVALID] = "invalid",
};

static const char *const end_texts[] = {
    [SR_RUN_DONE] = "done",       [SR_RUN_FAILED] = "failed",
    [SR_RUN_STOPPED] = "stopped", [SR_RUN_LAPSED] = "lapsed",
    [SR_RUN_BROKEN] = "broken",   [SR_RUN_ALONE] = "alone",
};

const char *
SrOrder_ResultText(enum SrOrderResult result)
{
    return result_texts[result];
}

const char *
SrRun_EndText(enum SrRunEnd end)
{
    return end_texts[end];
}
