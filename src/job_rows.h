/* Tables, keys and partitions of the rows of jobs.
 *
 * A transaction covers one partition, and the store applies the transactions
 * of a partition one at a time. The rows written for callers (jobs and
 * cancellations) are therefore spread over partitions by a hash of the job id,
 * so that a slow store applies many of them in parallel. The rows that the
 * leader writes (progress and summary) share the partition of the leader row,
 * because each transaction that writes them writes the leader row too. */
#ifndef SR_JOB_ROWS_H
#define SR_JOB_ROWS_H

#define SR_TABLE_LEADER "leader"
#define SR_TABLE_PROGRESS "progress"
#define SR_TABLE_SUMMARY "summary"
/* Key of the only row of SR_TABLE_SUMMARY. */
#define SR_KEY_SUMMARY "queues"
#define SR_LEADER_PARTITION ""

#define SR_TABLE_JOBS "jobs"
#define SR_TABLE_CANCEL "cancel"
/* Number of partitions of the jobs and their cancellations. A store that is 60
 * times slower than specified applies 3 transactions a second in each
 * partition. The 20 jobs a second for 350 workers are a fifth of the capacity
 * of 32 partitions, so that few transactions queue behind others. The number
 * must not change: rows that were stored under another number would not be
 * found. */
#define SR_JOB_PARTITIONS 32

extern const char *const SrJobRows_Partitions[SR_JOB_PARTITIONS];

/* Partition of the job's rows in SR_TABLE_JOBS and SR_TABLE_CANCEL. */
const char *SrJobRows_PartitionOf(const char *id);

#endif
