/* Submits a job of two tasks with eight accelerators each and waits until it
 * has ended.
 *
 * usage: submit_job GATES ACCOUNT KEY JOB-KEY
 *
 * JOB-KEY is the idempotency key of the job: if the program is run again with
 * the same key, it waits for the same job instead of starting a second one. */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "sassafrasrelay.h"

#define POLL_INTERVAL_NS 200000000L

static int
print_error(const struct SrClient *client, enum SrClientError error)
{
    const Sr__Error *failure = SrClient_Failure(client);
    fprintf(stderr, "%s%s%s\n", SrClient_ErrorText(error),
            failure != NULL ? ": " : "", failure != NULL ? failure->text : "");
    return 1;
}

static int
wait_for_end(struct SrClient *client, const char *job_id)
{
    for (;;) {
        Sr__Job *job;
        enum SrClientError error = SrClient_Status(client, job_id, &job);
        if (error != SR_CLIENT_OK) {
            return print_error(client, error);
        }
        Sr__JobState state = job->state;
        sr__job__free_unpacked(job, NULL);
        if (state != SR__JOB_STATE__JOB_QUEUED &&
            state != SR__JOB_STATE__JOB_PLACED) {
            printf("job %s: %s\n", job_id,
                   state == SR__JOB_STATE__JOB_FINISHED ? "finished"
                                                        : "not finished");
            return state == SR__JOB_STATE__JOB_FINISHED ? 0 : 1;
        }
        nanosleep(&(struct timespec){.tv_nsec = POLL_INTERVAL_NS}, NULL);
    }
}

int
main(int argc, char **argv)
{
    if (argc != 5) {
        fprintf(stderr, "usage: %s GATES ACCOUNT KEY JOB-KEY\n", argv[0]);
        return 64;
    }
    struct SrClient *client = SrClient_Create(argv[1], argv[2], argv[3]);
    if (client == NULL) {
        fputs("an argument is empty\n", stderr);
        return 64;
    }
    static char payload[] = "run_ms=500";
    Sr__JobSpec spec = SR__JOB_SPEC__INIT;
    Sr__SubmitReply *reply;
    spec.tasks = 2;
    spec.accelerators_per_task = 8;
    spec.cores_per_task = 8;
    spec.memory_mb_per_task = 4096;
    spec.expected_run_ms = 500;
    spec.repeatable = 1;
    spec.payload.data = (uint8_t *)payload;
    spec.payload.len = strlen(payload);
    int code;
    enum SrClientError error = SrClient_Submit(client, argv[4], &spec, &reply);
    if (error != SR_CLIENT_OK) {
        code = print_error(client, error);
    }
    else {
        code = wait_for_end(client, reply->job_id);
        sr__submit_reply__free_unpacked(reply, NULL);
    }
    SrClient_Destroy(client);
    return code;
}
