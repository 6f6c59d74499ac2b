/* Feeds mutated inputs to the decoders: each must be rejected with a reason,
 * or decoded to an object that the rest of the program can use. */
#include "test_support.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>

#include "catalog.h"
#include "codec.h"
#include "flow.h"
#include "log.h"
#include "platform_commands.h"
#include "platform_decode.h"
#include "platform_front.h"

/* Mutated inputs for each decoder; the environment variable SR_MUTATIONS sets
 * another number for longer runs. */
#define MUTATIONS 40000
#define MUTATIONS_VARIABLE "SR_MUTATIONS"
#define INPUT_MAX 2048

static const char worker_text[] =
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":8,\"state\":\"draining\","
    "\"cold_remaining_ms\":0,\"remaining_ms\":500,\"capacity\":{\"cpu\":16000,"
    "\"mem_mb\":32768,\"gpu\":8},\"labels\":[\"a\",\"r1-3\"],"
    "\"born\":1700000000000,\"sequence\":4}";
static const char catalog_text[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
    "\"path_prefix\":\"/p/\",\"priority\":2,\"service\":\"s\","
    "\"max_attempts\":4,\"stretch\":3.0,\"advisor\":{\"validity_ms\":3000}}],"
    "\"services\":[{\"name\":\"s\",\"enforces_capacity\":false}],"
    "\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"t\","
    "\"api_keys\":[\"k1\",\"k2\"],\"guaranteed_gpus\":{\"gpu\":72},"
    "\"weight\":4,\"cap\":{\"cpu\":1000,\"gpu\":8}}]}";
static const char job_text[] =
    "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
    "\"gpu\":2,\"estimated_ms\":900,\"gang\":true,\"same_rack\":true},"
    "{\"count\":20,\"after\":[0],\"enable_checkpoints\":true,"
    "\"max_per_server\":2,\"data_rack\":\"r1\",\"fill_count\":1}],"
    "\"repeat_count\":3,\"first_run_ms\":1000,\"interval_ms\":50}";

/* Tokens that are significant to a JSON parser. */
static const char *const tokens[] = {
    "null",        "-1",   "1e308", "99999999999999999999",
    "\"\"",        "[]",   "{}",    "[[[",
    "\"\\u0000\"", "true", ",",     "\xff",
};

static uint64_t
mutation_count(void)
{
    const char *text = getenv(MUTATIONS_VARIABLE);
    return text != NULL ? strtoull(text, NULL, 10) : MUTATIONS;
}

/* Inserts a token at a random position, unless the input gets too large;
 * returns the new size. */
static size_t
insert_token(gsl_rng *random, char *input, size_t size)
{
    const char *token = tokens[gsl_rng_uniform_int(random, SR_LENGTH(tokens))];
    size_t length = strlen(token);
    size_t at = gsl_rng_uniform_int(random, size + 1);
    if (size + length > INPUT_MAX) {
        return size;
    }
    memmove(input + at + length, input + at, size - at);
    for (size_t i = 0; i < length; i++) {
        input[at + i] = token[i];
    }
    return size + length;
}

/* Deletes a random range; returns the new size. */
static size_t
delete_range(gsl_rng *random, char *input, size_t size)
{
    size_t at = gsl_rng_uniform_int(random, size);
    size_t length = 1 + gsl_rng_uniform_int(random, size - at);
    memmove(input + at, input + at + length, size - at - length);
    return size - length;
}

/* Writes `from` with 1 to 4 random changes to `input`; returns the new
 * size. */
static size_t
mutate(gsl_rng *random, const void *from, size_t size, char *input)
{
    memcpy(input, from, size);
    unsigned long changes = 1 + gsl_rng_uniform_int(random, 4);
    for (unsigned long i = 0; i < changes && size > 0; i++) {
        switch (gsl_rng_uniform_int(random, 4)) {
        case 0:
            input[gsl_rng_uniform_int(random, size)] =
                (char)gsl_rng_uniform_int(random, 256);
            break;
        case 1:
            size = insert_token(random, input, size);
            break;
        case 2:
            size = delete_range(random, input, size);
            break;
        default:
            input[gsl_rng_uniform_int(random, size)] ^=
                (char)(1U << gsl_rng_uniform_int(random, 8));
            break;
        }
    }
    return size;
}

static void
check_worker(const void *data, size_t size)
{
    struct SrWorkerEntry entry;
    const char *field = NULL;
    if (SrPlatform_DecodeWorker("w", data, size, &entry, &field) ==
        SR_DECODE_OK) {
        /* An accepted entry must be usable. */
        assert_true(entry.address[0] != '\0');
        assert_true(entry.label_count <= SR_LABELS_MAX);
        return;
    }
    assert_non_null(field);
}

static void
check_catalog(const void *data, size_t size)
{
    struct SrCatalog *catalog = NULL;
    const char *field = NULL;
    const char *rest;
    if (SrPlatform_DecodeCatalog(data, size, &catalog, &field) !=
        SR_DECODE_OK) {
        assert_null(catalog);
        assert_non_null(field);
        return;
    }
    SrCatalog_FindQueue(catalog, "h.example", "/p/1", &rest);
    SrCatalog_AccountByKey(catalog, "k1");
    SrCatalog_Destroy(catalog);
}

/* Uses a job record as the scheduler does, if it is valid. Takes ownership of
 * the record. */
static void
exercise_record(Sr__FlowRecord *record)
{
    const char *field;
    if (SrFlow_Check(record, &field) != SR_FLOW_OK) {
        SrCodec_Free(record);
        return;
    }
    struct SrFlow *flow = SrFlow_Create("00112233445566aa", record);
    SrFlow_CriticalPathMs(flow);
    SrFlow_IsStepReady(flow, 0, (uint32_t)record->n_steps - 1);
    SrFlow_Destroy(flow);
}

static void
check_job(const void *data, size_t size)
{
    const char *fault = NULL;
    Sr__FlowRecord *record = SrPlatformFront_DecodeJob(data, size, &fault);
    if (record == NULL) {
        assert_non_null(fault);
        return;
    }
    exercise_record(record);
}

/* Checks a job record as stored in a row: a packed protobuf message. */
static void
check_row(const void *data, size_t size)
{
    Sr__FlowRecord *record =
        SrCodec_Unpack(&sr__flow_record__descriptor, data, size);
    if (record != NULL) {
        exercise_record(record);
    }
}

static const char response_text[] =
    "{\"clock_ms\":482113,\"born\":1700000000000,\"running\":[[\"a.0.1.17\",2,"
    "\"00bb\",41,7],[\"a.0.1.18\",2,\"\",0,9]],\"ended\":[[58,\"a.0.1.9\",1,"
    "\"done\",\"\"],[59,\"a.0.1.8\",1,\"stopped\",\"00\"]],\"reason\":\"old\","
    "\"good\":[[\"w1\",\"t1\"]],\"validity_ms\":3000}";

static void
check_response(const void *data, size_t size)
{
    static const unsigned statuses[] = {200, 409};
    for (size_t i = 0; i < SR_LENGTH(statuses); i++) {
        struct SrCommandResponse response;
        SrPlatformCommands_Decode(
            &(struct SrHttpResponse){
                .sent = true,
                .status = statuses[i],
                .body = data,
                .size = size,
            },
            &response);
        for (size_t t = 0; t < response.terminated_count &&
                           response.result == SR_COMMAND_DONE;
             t++) {
            assert_true(response.terminated[t].number > 0);
        }
        SrPlatformCommands_FreeLists(&response);
    }
}

/* Calls `check` with mutations of `from`. */
static void
run_mutations(const void *from, size_t size,
              void (*check)(const void *, size_t), uint64_t seed)
{
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    char *input = SrUtil_Calloc(1, INPUT_MAX);
    gsl_rng_set(random, seed);
    for (uint64_t i = 0; i < mutation_count(); i++) {
        size_t length = mutate(random, from, size, input);
        /* A heap block of the exact size lets the address sanitizer detect
         * reads past the end of the input. */
        char *exact = SrUtil_Memdup(input, length);
        check(exact, length);
        free(exact);
    }
    free(input);
    gsl_rng_free(random);
}

static void
mutated_inputs_are_read_or_refused(void **state)
{
    (void)state;
    const char *fault = NULL;
    size_t size;
    Sr__FlowRecord *record =
        SrPlatformFront_DecodeJob(job_text, strlen(job_text), &fault);
    uint8_t *row = SrCodec_Pack(&record->base, &size);
    run_mutations(worker_text, strlen(worker_text), check_worker, 1);
    run_mutations(catalog_text, strlen(catalog_text), check_catalog, 2);
    run_mutations(job_text, strlen(job_text), check_job, 3);
    run_mutations(row, size, check_row, 4);
    run_mutations(response_text, strlen(response_text), check_response, 5);
    free(row);
    SrCodec_Free(record);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(mutated_inputs_are_read_or_refused),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
