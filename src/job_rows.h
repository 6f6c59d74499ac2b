/* Where the rows of jobs lie in the store.
 *
 * The store carries out the transactions of one partition one after another,
 * and a transaction has one partition. What callers write, the jobs and their
 * cancels, is spread over partitions by the job's id, so that a slow store
 * takes many of them at a time. What the leader writes lies with its own row,
 * which each of its transactions names. */
#ifndef SR_JOB_ROWS_H
#define SR_JOB_ROWS_H

#define SR_TABLE_LEADER "leader"
#define SR_TABLE_PROGRESS "progress"
#define SR_TABLE_SUMMARY "summary"
#define SR_KEY_SUMMARY "queues"
#define SR_LEADER_PARTITION ""

#define SR_TABLE_JOBS "jobs"
#define SR_TABLE_CANCEL "cancel"
/* A store that is 60 times slower than told takes 3 transactions a second in a
 * partition, and 350 workers are sent 20 jobs a second: 32 take that at a
 * fifth of their time, so that few wait for others. The rows of another number
 * are not found. */
#define SR_JOB_PARTITIONS 32

extern const char *const SrJobRows_Partitions[SR_JOB_PARTITIONS];

/* Partition of the rows that callers write about the job. */
const char *SrJobRows_PartitionOf(const char *id);

#endif
