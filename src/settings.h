/* Settings of a daemon, from command-line flags and environment variables.
 *
 * All settings are declared in one table in settings.c. The argp options, the
 * environment variables, the checks, the output of `check-settings` and
 * docs/SETTINGS.md are derived from it. A flag takes precedence over the
 * environment variable, which takes precedence over the default. */
#ifndef SR_SETTINGS_H
#define SR_SETTINGS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* The table in settings.c gives the meaning, unit and range of each member. A
 * string is NULL if a required setting has not been set. */
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
    /* A text setting is malformed. */
    SR_SETTINGS_BAD_TEXT,
    /* A required setting is not set. */
    SR_SETTINGS_MISSING,
    /* Two settings contradict each other. */
    SR_SETTINGS_INCONSISTENT,
};

/* Returns a static description of the error. */
const char *SrSettings_ErrorText(enum SrSettingsError error);

/* Initialises each setting from its environment variable, or else from its
 * default. On an error, this function and those below write one line to
 * `errors`, with the setting, its value and the expected format or range. The
 * caller frees the strings by SrSettings_Clear, also after an error. */
enum SrSettingsError SrSettings_Load(struct SrSettings *settings,
                                     FILE *errors);

/* Sets one setting, given by the name of its flag without dashes, such as
 * "lease-ms". */
enum SrSettingsError SrSettings_Set(struct SrSettings *settings,
                                    const char *flag, const char *value,
                                    FILE *errors);

/* Checks that the required settings are set and that settings which depend on
 * each other are consistent. */
enum SrSettingsError SrSettings_Check(const struct SrSettings *settings,
                                      FILE *errors);

/* Frees the strings and zeroes all settings. */
void SrSettings_Clear(struct SrSettings *settings);

/* Key of the first argp option. */
#define SR_SETTINGS_KEY 0x1000

/* Returns an array of argp options, terminated by a zero element. The key of
 * an option is SR_SETTINGS_KEY plus the index of the setting. The caller frees
 * the array by free(). */
struct argp_option *SrSettings_Options(void);

/* Sets the setting with the argp key `key`. Returns SR_SETTINGS_UNKNOWN_NAME
 * for other keys, without writing to `errors`. */
enum SrSettingsError SrSettings_SetByKey(struct SrSettings *settings, int key,
                                         const char *value, FILE *errors);

/* Prints all settings, one name=value per line, with the unit of a number.
 * Secrets are not shown. */
void SrSettings_Print(const struct SrSettings *settings, FILE *out);

/* Prints the table of settings as a Markdown page. */
void SrSettings_PrintMarkdown(FILE *out);

#endif
