#include "commands.h"

static const char *const result_texts[] = {
    [SR_COMMAND_DONE] = "done",
    [SR_COMMAND_NO_RESPONSE] = "silent",
    [SR_COMMAND_NOT_EXECUTED] = "not-done",
    [SR_COMMAND_FENCED] = "fenced",
    [SR_COMMAND_OLD_RUN] = "old",
    [SR_COMMAND_LEASE_PASSED] = "late",
    [SR_COMMAND_NO_CAPACITY] = "no-room",
    [SR_COMMAND_BAD_TICKET] = "no-ticket",
    [SR_COMMAND_OTHER_INCARNATION] = "other-life",
    [SR_COMMAND_INVALID] = "invalid",
};

static const char *const outcome_texts[] = {
    [SR_RUN_DONE] = "done",         [SR_RUN_FAILED] = "failed",
    [SR_RUN_STOPPED] = "stopped",   [SR_RUN_LAPSED] = "lapsed",
    [SR_RUN_GANG_ENDED] = "broken", [SR_RUN_GANG_TIMEOUT] = "alone",
};

const char *
SrCommand_ResultText(enum SrCommandResult result)
{
    return result_texts[result];
}

const char *
SrRun_OutcomeText(enum SrRunOutcome outcome)
{
    return outcome_texts[outcome];
}
