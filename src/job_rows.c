#include "job_rows.h"

#include "util.h"

const char *const SrJobRows_Partitions[SR_JOB_PARTITIONS] = {
    "j0",  "j1",  "j2",  "j3",  "j4",  "j5",  "j6",  "j7",
    "j8",  "j9",  "j10", "j11", "j12", "j13", "j14", "j15",
    "j16", "j17", "j18", "j19", "j20", "j21", "j22", "j23",
    "j24", "j25", "j26", "j27", "j28", "j29", "j30", "j31",
};

const char *
SrJobRows_PartitionOf(const char *id)
{
    return SrJobRows_Partitions[SrUtil_HashText(id) % SR_JOB_PARTITIONS];
}
