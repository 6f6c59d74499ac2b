/* Unit tests of settings, message decoding, authentication, configuration
 * changes, job specifications, membership, metrics and worker health. */
#include "test_support.h"

#include <stdlib.h>

#include "auth.h"
#include "codec.h"
#include "config_edit.h"
#include "health.h"
#include "job_spec.h"
#include "membership.h"
#include "metrics.h"
#include "settings.h"

static void
settings_are_checked(void **state)
{
    (void)state;
    static const struct {
        const char *flag;
        const char *value;
        enum SrSettingsError error;
        /* Part of the error message. */
        const char *message;
    } cases[] = {
        {"slots", "8", SR_SETTINGS_OK, ""},
        {"slots", "-3", SR_SETTINGS_OUT_OF_RANGE, "-3"},
        {"slots", "8x", SR_SETTINGS_NOT_A_NUMBER, "8x"},
        {"slots", "", SR_SETTINGS_NOT_A_NUMBER, "slots"},
        {"lease-ms", "99999999999999999999", SR_SETTINGS_NOT_A_NUMBER,
         "lease-ms"},
        {"listen", "127.0.0.1", SR_SETTINGS_BAD_TEXT, "127.0.0.1"},
        {"listen", "127.0.0.1:70000", SR_SETTINGS_BAD_TEXT, "70000"},
        {"listen", "127.0.0.1:7000", SR_SETTINGS_OK, ""},
        {"peers", "a/gate/d/r/1.1.1.1:1,b", SR_SETTINGS_BAD_TEXT, "peers"},
        {"peers", "a/king/d/r/1.1.1.1:1", SR_SETTINGS_BAD_TEXT, "king"},
        {"peers", "a/gate/d/r/1.1.1.1:1", SR_SETTINGS_OK, ""},
        {"name", "a b", SR_SETTINGS_BAD_TEXT, "a b"},
        {"log-level", "loud", SR_SETTINGS_BAD_TEXT, "loud"},
        {"operator-key-hash", "abc", SR_SETTINGS_BAD_TEXT, "abc"},
        {"bus-secret", "short", SR_SETTINGS_BAD_TEXT, "(secret)"},
        {"colour", "red", SR_SETTINGS_UNKNOWN_NAME, "colour"},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrSettings settings;
        char *text = NULL;
        size_t size = 0;
        FILE *errors = open_memstream(&text, &size);
        assert_int_equal(SrSettings_Load(&settings, errors), SR_SETTINGS_OK);
        enum SrSettingsError error =
            SrSettings_Set(&settings, cases[i].flag, cases[i].value, errors);
        fclose(errors);
        if (error != cases[i].error ||
            strstr(text, cases[i].message) == NULL) {
            fail_msg("%s=%s: %s", cases[i].flag, cases[i].value, text);
        }
        free(text);
        SrSettings_Clear(&settings);
    }
}

static void
related_settings_are_checked(void **state)
{
    (void)state;
    struct SrSettings settings;
    FILE *null_file = fopen("/dev/null", "w");
    SrSettings_Load(&settings, null_file);
    assert_int_equal(SrSettings_Check(&settings, null_file),
                     SR_SETTINGS_MISSING);
    static const char *const texts[][2] = {
        {"name", "n"},
        {"domain", "d"},
        {"listen", "127.0.0.1:1"},
        {"bus-listen", "127.0.0.1:2"},
        {"platform", "127.0.0.1:3"},
        {"bus-secret", "0123456789abcdef"},
        {"operator-key-hash", "0123456789abcdef0123456789abcdef"
                              "0123456789abcdef0123456789abcdef"},
    };
    for (size_t i = 0; i < SR_LENGTH(texts); i++) {
        SrSettings_Set(&settings, texts[i][0], texts[i][1], null_file);
    }
    assert_int_equal(SrSettings_Check(&settings, null_file), SR_SETTINGS_OK);
    SrSettings_Set(&settings, "renew-ms", "15000", null_file);
    assert_int_equal(SrSettings_Check(&settings, null_file),
                     SR_SETTINGS_INCONSISTENT);
    fclose(null_file);
    SrSettings_Clear(&settings);
}

static void
messages_are_bounded(void **state)
{
    (void)state;
    /* A list of 100000 empty jobs: each takes two bytes when encoded and a
     * large struct when decoded. */
    size_t size = 200000;
    uint8_t *data = malloc(size);
    for (size_t i = 0; i < size; i += 2) {
        data[i] = 0x0a;
        data[i + 1] = 0;
    }
    assert_null(SrCodec_Unpack(&sr__jobs_reply__descriptor, data, size));
    free(data);
    static const uint8_t truncated[] = {0x0a, 0x20, 'x'};
    assert_null(SrCodec_Unpack(&sr__submit_request__descriptor, truncated,
                               sizeof(truncated)));
    void *empty = SrCodec_Unpack(&sr__submit_request__descriptor, NULL, 0);
    assert_non_null(empty);
    SrCodec_Free(empty);
}

static void
authorization_headers_are_checked(void **state)
{
    (void)state;
    char operator_hash[SR_AUTH_HEX_SIZE];
    uint8_t hash[SR_AUTH_HASH_BYTES];
    char account[SR_AUTH_ACCOUNT_SIZE];
    SrAuth_HashHex("operator-key", operator_hash);
    SrAuth_Hash("account-key", hash);
    Sr__Config config = SR__CONFIG__INIT;
    Sr__Account greens = SR__ACCOUNT__INIT;
    Sr__Account keyless = SR__ACCOUNT__INIT;
    Sr__Account *accounts[] = {&greens, &keyless};
    greens.name = "greens";
    greens.key_hash.data = hash;
    greens.key_hash.len = sizeof(hash);
    keyless.name = "keyless";
    config.accounts = accounts;
    config.n_accounts = 2;
    static const struct {
        const char *header;
        enum SrAuthResult result;
        const char *account;
    } cases[] = {
        {"Bearer greens:account-key", SR_AUTH_ACCOUNT, "greens"},
        {"Bearer greens:other-key", SR_AUTH_DENIED, ""},
        {"Bearer greens:", SR_AUTH_DENIED, ""},
        {"Bearer keyless:", SR_AUTH_DENIED, ""},
        {"Bearer nobody:account-key", SR_AUTH_DENIED, ""},
        {"Bearer operator:operator-key", SR_AUTH_OPERATOR, ""},
        {"Bearer operator:account-key", SR_AUTH_DENIED, ""},
        {"Basic greens:account-key", SR_AUTH_DENIED, ""},
        {"Bearer greens", SR_AUTH_DENIED, ""},
        {NULL, SR_AUTH_DENIED, ""},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        assert_int_equal(
            SrAuth_Check(cases[i].header, &config, operator_hash, account),
            cases[i].result);
        assert_string_equal(account, cases[i].account);
    }
}

static void
changes_are_checked_and_applied(void **state)
{
    (void)state;
    char text[256];
    Sr__Account account = SR__ACCOUNT__INIT;
    Sr__Guarantee guarantee = SR__GUARANTEE__INIT;
    Sr__Guarantee *guarantees[] = {&guarantee};
    static const struct {
        const char *name;
        uint32_t weight;
        uint32_t accelerators;
        uint32_t cells;
        const char *key;
        const char *field;
    } cases[] = {
        {"greens", 1, 8, 1, "", NULL},
        {"Greens", 1, 8, 1, "", "put_account.name"},
        {"operator", 1, 8, 1, "", "put_account.name"},
        {"greens", 0, 8, 1, "", "put_account.weight"},
        {"greens", 1, 3, 1, "", "guarantees.accelerators"},
        {"greens", 1, 128, 1, "", "guarantees.accelerators"},
        {"greens", 1, 8, 0, "", "guarantees.cells"},
        {"greens", 1, 8, 1, "short", "account_key"},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        Sr__ConfigChange change = SR__CONFIG_CHANGE__INIT;
        account.name = (char *)cases[i].name;
        account.weight = cases[i].weight;
        account.guarantees = guarantees;
        account.n_guarantees = 1;
        guarantee.domain = "d1";
        guarantee.accelerators = cases[i].accelerators;
        guarantee.cells = cases[i].cells;
        change.change_case = SR__CONFIG_CHANGE__CHANGE_PUT_ACCOUNT;
        change.put_account = &account;
        change.account_key = (char *)cases[i].key;
        const char *field = SrConfigEdit_Check(&change, text, sizeof(text));
        if (cases[i].field == NULL) {
            assert_null(field);
        }
        else {
            assert_string_equal(field, cases[i].field);
        }
    }
    Sr__ConfigChange put = SR__CONFIG_CHANGE__INIT;
    Sr__ConfigChange domain_out = SR__CONFIG_CHANGE__INIT;
    Sr__ConfigChange removal = SR__CONFIG_CHANGE__INIT;
    Sr__Domain domain = SR__DOMAIN__INIT;
    account.name = "greens";
    account.n_guarantees = 0;
    put.change_case = SR__CONFIG_CHANGE__CHANGE_PUT_ACCOUNT;
    put.put_account = &account;
    put.account_key = "account-key";
    domain.name = "d1";
    domain.state = SR__DOMAIN_STATE__DOMAIN_OUT;
    domain_out.change_case = SR__CONFIG_CHANGE__CHANGE_SET_DOMAIN;
    domain_out.set_domain = &domain;
    removal.change_case = SR__CONFIG_CHANGE__CHANGE_REMOVE_ACCOUNT;
    removal.remove_account = "greens";
    Sr__Config *first = SrConfigEdit_Apply(NULL, &put);
    put.account_key = "";
    Sr__Config *second = SrConfigEdit_Apply(first, &put);
    Sr__Config *third = SrConfigEdit_Apply(second, &domain_out);
    Sr__Config *fourth = SrConfigEdit_Apply(third, &removal);
    assert_int_equal(fourth->version, 4);
    /* A change without an account key keeps the account's key. */
    assert_int_equal(second->accounts[0]->key_hash.len, SR_AUTH_HASH_BYTES);
    assert_int_equal(third->domains[0]->state, SR__DOMAIN_STATE__DOMAIN_OUT);
    assert_int_equal(fourth->n_accounts, 0);
    SrCodec_Free(first);
    SrCodec_Free(second);
    SrCodec_Free(third);
    SrCodec_Free(fourth);
}

static void
submissions_are_checked(void **state)
{
    (void)state;
    static const struct {
        const char *key;
        uint32_t tasks;
        uint32_t accelerators;
        uint32_t cores;
        uint32_t memory_mb;
        const char *field;
    } cases[] = {
        {"k", 1, 8, 1, 1, NULL},
        {"k", 64, 0, 1, 1, NULL},
        {"", 1, 8, 1, 1, "idempotency_key"},
        {"a/b", 1, 8, 1, 1, "idempotency_key"},
        {"k", 0, 8, 1, 1, "tasks"},
        {"k", 65, 8, 1, 1, "tasks"},
        {"k", 1, 3, 1, 1, "accelerators_per_task"},
        {"k", 1, 16, 1, 1, "accelerators_per_task"},
        {"k", 1, 8, 0, 1, "cores_per_task"},
        {"k", 1, 8, 1, 0, "memory_mb_per_task"},
    };
    char text[256];
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        Sr__SubmitRequest request = SR__SUBMIT_REQUEST__INIT;
        Sr__JobSpec spec = SR__JOB_SPEC__INIT;
        request.idempotency_key = (char *)cases[i].key;
        request.spec = &spec;
        spec.tasks = cases[i].tasks;
        spec.accelerators_per_task = cases[i].accelerators;
        spec.cores_per_task = cases[i].cores;
        spec.memory_mb_per_task = cases[i].memory_mb;
        const char *field = SrJobSpec_Check(&request, text, sizeof(text));
        if (cases[i].field == NULL) {
            assert_null(field);
        }
        else {
            assert_non_null(field);
            assert_string_equal(field, cases[i].field);
        }
    }
}

static void
peers_are_suspected_before_they_are_dead(void **state)
{
    (void)state;
    struct SrMembership membership;
    Sr__Heartbeat heartbeat = SR__HEARTBEAT__INIT;
    SrMembership_Init(&membership, "s1", SR__ROLE__ROLE_SCHEDULER, "d1", "r1",
                      3000,
                      "s1/scheduler/d1/r1/x:1,s2/scheduler/d1/r1/x:2,"
                      "g1/gate/d1/r1/x:3,g2/gate/d2/r1/x:4");
    struct SrPeer *peer = SrMembership_Find(&membership, "s2");
    assert_null(SrMembership_Find(&membership, "s1"));
    assert_int_equal(SrMembership_State(&membership, peer, 0), SR_PEER_DEAD);
    heartbeat.leading = true;
    heartbeat.term = 4;
    assert_true(SrMembership_OnHeartbeat(peer, 10, &heartbeat, 1000));
    assert_ptr_equal(SrMembership_Leader(&membership, "d1", 1000), peer);
    assert_int_equal(SrMembership_State(&membership, peer, 4500),
                     SR_PEER_SUSPECT);
    assert_null(SrMembership_Leader(&membership, "d1", 4500));
    assert_int_equal(SrMembership_State(&membership, peer, 11000),
                     SR_PEER_DEAD);
    /* A heartbeat of an earlier incarnation is ignored. */
    assert_false(SrMembership_OnHeartbeat(peer, 9, &heartbeat, 11000));
    SrMembership_Clear(&membership);
}

static void
gates_agree_on_the_home_gate_of_an_id(void **state)
{
    (void)state;
    static const char peers[] = "g1/gate/d1/r1/x:1,g2/gate/d1/r1/x:2,"
                                "g3/gate/d2/r1/x:3,g4/gate/d2/r1/x:4";
    static const char *const names[] = {"g1", "g2", "g3", "g4"};
    unsigned homes[4] = {0};
    for (unsigned id = 0; id < 400; id++) {
        char text[16];
        const char *home = NULL;
        snprintf(text, sizeof(text), "id-%u", id);
        for (size_t i = 0; i < SR_LENGTH(names); i++) {
            struct SrMembership membership;
            SrMembership_Init(&membership, names[i], SR__ROLE__ROLE_GATE, "d1",
                              "r1", 3000, peers);
            const char *found = SrMembership_HomeGate(&membership, text);
            size_t at = (size_t)(found[1] - '1');
            if (home == NULL) {
                home = names[at];
                homes[at]++;
            }
            assert_string_equal(found, home);
            SrMembership_Clear(&membership);
        }
    }
    for (size_t i = 0; i < SR_LENGTH(homes); i++) {
        assert_in_range(homes[i], 60, 140);
    }
}

static void
histograms_hold_quantiles(void **state)
{
    (void)state;
    struct SrHistogram histogram = {0};
    assert_int_equal(SrHistogram_Quantile(&histogram, 0.5), 0);
    for (uint64_t i = 1; i <= 1000; i++) {
        SrHistogram_Add(&histogram, i);
    }
    assert_in_range(SrHistogram_Quantile(&histogram, 0.5), 500, 575);
    assert_in_range(SrHistogram_Quantile(&histogram, 0.99), 990, 1152);
    SrHistogram_Add(&histogram, UINT64_MAX);
    assert_int_equal(histogram.count, 1001);
}

static void
labels_are_limited(void **state)
{
    (void)state;
    struct SrMetrics *metrics = SrMetrics_Create();
    char label[16];
    for (unsigned i = 0; i < SR_METRICS_LABELS_MAX + 100; i++) {
        snprintf(label, sizeof(label), "a%u", i);
        SrMetrics_Count(metrics, "m", "account", label, 1);
    }
    assert_int_equal(SrMetrics_Get(metrics, "m", "other"), 100);
    SrMetrics_Destroy(metrics);
}

static void
workers_are_quarantined_after_failures_of_three_jobs(void **state)
{
    (void)state;
    struct SrHealth *health = SrHealth_Create(1000);
    assert_false(SrHealth_OnFailure(health, "w", "j1", 0));
    assert_false(SrHealth_OnFailure(health, "w", "j1", 0));
    assert_false(SrHealth_OnFailure(health, "w", "j1", 0));
    assert_false(SrHealth_OnFailure(health, "w", "j2", 0));
    SrHealth_OnSuccess(health, "w");
    assert_false(SrHealth_OnFailure(health, "w", "j3", 0));
    assert_false(SrHealth_OnFailure(health, "w", "j4", 0));
    assert_true(SrHealth_OnFailure(health, "w", "j5", 0));
    assert_true(SrHealth_IsQuarantined(health, "w", 999));
    assert_false(SrHealth_IsQuarantined(health, "w", 1000));
    /* The next quarantine is twice as long. */
    SrHealth_OnFailure(health, "w", "j6", 1000);
    SrHealth_OnFailure(health, "w", "j7", 1000);
    assert_true(SrHealth_OnFailure(health, "w", "j8", 1000));
    assert_true(SrHealth_IsQuarantined(health, "w", 2999));
    assert_false(SrHealth_IsQuarantined(health, "w", 3000));
    SrHealth_Destroy(health);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(settings_are_checked),
        cmocka_unit_test(related_settings_are_checked),
        cmocka_unit_test(messages_are_bounded),
        cmocka_unit_test(authorization_headers_are_checked),
        cmocka_unit_test(changes_are_checked_and_applied),
        cmocka_unit_test(submissions_are_checked),
        cmocka_unit_test(peers_are_suspected_before_they_are_dead),
        cmocka_unit_test(gates_agree_on_the_home_gate_of_an_id),
        cmocka_unit_test(histograms_hold_quantiles),
        cmocka_unit_test(labels_are_limited),
        cmocka_unit_test(workers_are_quarantined_after_failures_of_three_jobs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
