/* Settings of a daemon, from flags and environment variables.
 *
 * One table declares each setting; argp options, the environment reader, the
 * checks, `check-settings` and docs/SETTINGS.md are derived from it. A flag
 * beats the environment variable, which beats the default. */
#ifndef SR_SETTINGS_H
#define SR_SETTINGS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct SrSettings {
    char *name;
    char *domain;
    char *region;
    char *listen;
    char *bus_listen;
    char *peers;
    char *platform;
    char *bus_secret;
    char *operator_key_hash;
    char *log_level;
    int64_t lease_ms;
    int64_t renew_ms;
    int64_t term_ttl_ms;
    int64_t term_renew_ms;
    int64_t config_lease_ms;
    int64_t store_timeout_ms;
    int64_t vm_poll_ms;
    int64_t heartbeat_ms;
    int64_t suspect_ms;
    int64_t slots;
    int64_t connections;
    int64_t queue_per_account;
    int64_t queue_ms;
    int64_t retry_percent;
    int64_t window_ms;
    int64_t body_max_kib;
    int64_t read_timeout_ms;
    int64_t drain_ms;
    int64_t unready_ms;
    int64_t checkpoint_grace_ms;
    int64_t job_failures_max;
    int64_t quarantine_ms;
};

enum SrSettingsError {
    SR_SETTINGS_OK,
    SR_SETTINGS_UNKNOWN_NAME,
    SR_SETTINGS_NOT_A_NUMBER,
    SR_SETTINGS_OUT_OF_RANGE,
    SR_SETTINGS_BAD_TEXT,
    SR_SETTINGS_MISSING,
    SR_SETTINGS_INCONSISTENT,
};

const char *SrSettings_ErrorText(enum SrSettingsError error);

/* Sets the defaults and then the environment's values. On an error prints one
 * line naming setting, value and range to `errors`. */
enum SrSettingsError SrSettings_Load(struct SrSettings *settings,
                                     FILE *errors);

/* Sets one setting by its flag's name, as in "lease-ms". */
enum SrSettingsError SrSettings_Set(struct SrSettings *settings,
                                    const char *flag, const char *value,
                                    FILE *errors);

/* Checks what concerns more than one setting. */
enum SrSettingsError SrSettings_Check(const struct SrSettings *settings,
                                      FILE *errors);

void SrSettings_Clear(struct SrSettings *settings);

/* Options for argp, ended by a zero element; keys are SR_SETTINGS_KEY plus
 * the setting's index. The caller frees the array. */
#define SR_SETTINGS_KEY 0x1000
struct argp_option *SrSettings_Options(void);

/* Sets the setting that stands behind an argp key. */
enum SrSettingsError SrSettings_SetByKey(struct SrSettings *settings, int key,
                                         const char *value, FILE *errors);

/* Prints all values, with secrets left out, or the table as Markdown. */
void SrSettings_Print(const struct SrSettings *settings, FILE *out);
void SrSettings_PrintMarkdown(FILE *out);

#endif
