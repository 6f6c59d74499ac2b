#include "settings.h"

#include <ctype.h>
#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "util.h"

enum SettingKind {
    /* Id; see SrUtil_IsId. */
    SETTING_ID,
    /* host:port */
    SETTING_ADDRESS,
    SETTING_PEERS,
    /* At least 16 characters; never printed. */
    SETTING_SECRET,
    /* 64 hexadecimal digits, lower case. */
    SETTING_HEX,
    /* Log level. */
    SETTING_LEVEL,
    SETTING_NUMBER,
};

struct Setting {
    /* Name of the flag without the leading dashes. */
    const char *flag;
    enum SettingKind kind;
    /* Offset of the member in struct SrSettings: int64_t for SETTING_NUMBER,
     * char * for all others. */
    size_t offset;
    /* Unit and bounds, both inclusive, of a SETTING_NUMBER. */
    const char *unit;
    int64_t min;
    int64_t max;
    /* Default value; NULL for a required setting. */
    const char *default_value;
    bool required;
    /* Meaning, for the help text and the Markdown page. The text for a setting
     * other than a number also states the format, since the error message for
     * a malformed value quotes it. */
    const char *doc;
};

#define FIELD(name) offsetof(struct SrSettings, name)
#define HOUR_MS (60 * 60 * 1000)

static const struct Setting table[] = {
    {.flag = "name",
     .kind = SETTING_ID,
     .offset = FIELD(name),
     .required = true,
     .doc = "name of this process, unique among all gates and schedulers; "
            "1 to 64 letters, digits or . _ -"},
    {.flag = "domain",
     .kind = SETTING_ID,
     .offset = FIELD(domain),
     .required = true,
     .doc =
         "failure domain of this process; 1 to 64 letters, digits or . _ -"},
    {.flag = "region",
     .kind = SETTING_ID,
     .offset = FIELD(region),
     .default_value = "default",
     .doc = "region of the failure domain; 1 to 64 letters, digits or . _ -"},
    {.flag = "listen",
     .kind = SETTING_ADDRESS,
     .offset = FIELD(listen),
     .required = true,
     .doc = "address to listen on for HTTP requests, host:port"},
    {.flag = "bus-listen",
     .kind = SETTING_ADDRESS,
     .offset = FIELD(bus_listen),
     .required = true,
     .doc = "address to listen on for other gates and schedulers, host:port"},
    {.flag = "peers",
     .kind = SETTING_PEERS,
     .offset = FIELD(peers),
     .default_value = "",
     .doc = "other gates and schedulers, comma-separated, each as "
            "name/gate|scheduler/domain/region/host:port"},
    {.flag = "platform",
     .kind = SETTING_ADDRESS,
     .offset = FIELD(platform),
     .required = true,
     .doc = "address of the platform's table service and VM list, host:port"},
    {.flag = "bus-secret",
     .kind = SETTING_SECRET,
     .offset = FIELD(bus_secret),
     .required = true,
     .doc = "secret from which the encryption keys for messages between gates "
            "and schedulers are derived, "
            "at least 16 characters"},
    {.flag = "operator-key-hash",
     .kind = SETTING_HEX,
     .offset = FIELD(operator_key_hash),
     .required = true,
     .doc = "hash of the operators' key, 64 hexadecimal digits, as printed by "
            "`hash-key`"},
    {.flag = "log-level",
     .kind = SETTING_LEVEL,
     .offset = FIELD(log_level),
     .default_value = "info",
     .doc = "lowest level of log lines written: debug, info, warn or error"},
    {.flag = "lease-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(lease_ms),
     .unit = "ms",
     .min = 500,
     .max = HOUR_MS,
     .default_value = "30000",
     .doc = "duration of a lease on a worker"},
    {.flag = "renew-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(renew_ms),
     .unit = "ms",
     .min = 50,
     .max = HOUR_MS,
     .default_value = "10000",
     .doc = "interval between renewals of the leases on a worker; less than "
            "half of lease-ms"},
    {.flag = "term-ttl-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(term_ttl_ms),
     .unit = "ms",
     .min = 300,
     .max = 60000,
     .default_value = "5000",
     .doc = "time after its last renewal of the leadership at which a leader "
            "may be replaced"},
    {.flag = "term-renew-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(term_renew_ms),
     .unit = "ms",
     .min = 50,
     .max = 30000,
     .default_value = "1500",
     .doc = "interval between renewals of the leadership; less than half of "
            "term-ttl-ms and of config-lease-ms"},
    {.flag = "config-lease-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(config_lease_ms),
     .unit = "ms",
     .min = 500,
     .max = 15000,
     .default_value = "8000",
     .doc = "time for which a leader may start gangs under a configuration "
            "after it has confirmed that the configuration is current"},
    {.flag = "store-timeout-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(store_timeout_ms),
     .unit = "ms",
     .min = 50,
     .max = 60000,
     .default_value = "1000",
     .doc = "timeout of a request to the table service"},
    {.flag = "vm-poll-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(vm_poll_ms),
     .unit = "ms",
     .min = 50,
     .max = 60000,
     .default_value = "1000",
     .doc = "interval at which the VM list is polled"},
    {.flag = "heartbeat-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(heartbeat_ms),
     .unit = "ms",
     .min = 20,
     .max = 60000,
     .default_value = "1000",
     .doc = "mean interval between heartbeats to a peer"},
    {.flag = "suspect-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(suspect_ms),
     .unit = "ms",
     .min = 100,
     .max = 60000,
     .default_value = "3500",
     .doc = "time without a heartbeat after which a peer is not used for new "
            "work; more than twice heartbeat-ms"},
    {.flag = "slots",
     .kind = SETTING_NUMBER,
     .offset = FIELD(slots),
     .unit = "requests",
     .min = 1,
     .max = 1024,
     .default_value = "8",
     .doc = "concurrent requests to a backend server for which the VM list "
            "gives no number of slots"},
    {.flag = "connections",
     .kind = SETTING_NUMBER,
     .offset = FIELD(connections),
     .unit = "connections",
     .min = 1,
     .max = 1024,
     .default_value = "12",
     .doc = "maximum number of connections to one backend server"},
    {.flag = "queue-per-account",
     .kind = SETTING_NUMBER,
     .offset = FIELD(queue_per_account),
     .unit = "requests",
     .min = 1,
     .max = 100000,
     .default_value = "256",
     .doc = "maximum number of queued calls of one client account"},
    {.flag = "queue-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(queue_ms),
     .unit = "ms",
     .min = 10,
     .max = 600000,
     .default_value = "5000",
     .doc =
         "maximum time that a call waits in the queue before it is refused"},
    {.flag = "retry-percent",
     .kind = SETTING_NUMBER,
     .offset = FIELD(retry_percent),
     .unit = "%",
     .min = 0,
     .max = 100,
     .default_value = "10",
     .doc =
         "retries allowed per hundred successful calls of a client account"},
    {.flag = "window-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(window_ms),
     .unit = "ms",
     .min = 1000,
     .max = HOUR_MS,
     .default_value = "300000",
     .doc = "time for which request ids of non-repeatable calls are kept to "
            "detect duplicates; older calls are refused"},
    {.flag = "body-max-kib",
     .kind = SETTING_NUMBER,
     .offset = FIELD(body_max_kib),
     .unit = "KiB",
     .min = 1,
     .max = 16384,
     .default_value = "8256",
     .doc = "maximum size of a request body"},
    {.flag = "read-timeout-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(read_timeout_ms),
     .unit = "ms",
     .min = 1000,
     .max = HOUR_MS,
     .default_value = "15000",
     .doc = "time limit for receiving a request; an idle connection is closed "
            "1 to 2 s later than this"},
    {.flag = "drain-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(drain_ms),
     .unit = "ms",
     .min = 0,
     .max = HOUR_MS,
     .default_value = "30000",
     .doc = "maximum time for work in progress to finish during a shutdown, "
            "after unready-ms"},
    {.flag = "unready-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(unready_ms),
     .unit = "ms",
     .min = 0,
     .max = 60000,
     .default_value = "2000",
     .doc = "time at the start of a shutdown for which the process reports "
            "that it is not ready but still accepts requests, so that load "
            "balancers can take it out of service"},
    {.flag = "checkpoint-grace-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(checkpoint_grace_ms),
     .unit = "ms",
     .min = 0,
     .max = 600000,
     .default_value = "1000",
     .doc = "time between the checkpoint and the stop of a gang that is "
            "preempted"},
    {.flag = "job-failures-max",
     .kind = SETTING_NUMBER,
     .offset = FIELD(job_failures_max),
     .unit = "workers",
     .min = 1,
     .max = 100,
     .default_value = "3",
     .doc = "number of distinct workers on which a job may fail before it is "
            "ended as failed"},
    {.flag = "quarantine-ms",
     .kind = SETTING_NUMBER,
     .offset = FIELD(quarantine_ms),
     .unit = "ms",
     .min = 100,
     .max = 24 * HOUR_MS,
     .default_value = "60000",
     .doc = "duration of the first quarantine of a failing worker; doubles "
            "with each further quarantine"},
};

static const char *const error_texts[] = {
    [SR_SETTINGS_OK] = "no error",
    [SR_SETTINGS_UNKNOWN_NAME] = "unknown setting",
    [SR_SETTINGS_NOT_A_NUMBER] = "not a whole number",
    [SR_SETTINGS_OUT_OF_RANGE] = "out of range",
    [SR_SETTINGS_BAD_TEXT] = "malformed value",
    [SR_SETTINGS_MISSING] = "required setting is not set",
    [SR_SETTINGS_INCONSISTENT] = "inconsistent with another setting",
};

const char *
SrSettings_ErrorText(enum SrSettingsError error)
{
    return error_texts[error];
}

static char **
text_of(const struct SrSettings *settings, const struct Setting *setting)
{
    return (char **)((char *)settings + setting->offset);
}

static int64_t *
number_of(const struct SrSettings *settings, const struct Setting *setting)
{
    return (int64_t *)((char *)settings + setting->offset);
}

/* Writes the name of the environment variable of a setting. */
static void
variable_name(const struct Setting *setting, char *to, size_t size)
{
    snprintf(to, size, "SASSAFRASRELAY_%s", setting->flag);
    for (char *at = to; *at != '\0'; at++) {
        *at = (char)(*at == '-' ? '_' : toupper((unsigned char)*at));
    }
}

static bool
is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL || colon == text) {
        return false;
    }
    char *end;
    long port = strtol(colon + 1, &end, 10);
    return *end == '\0' && end != colon + 1 && port > 0 && port < 65536;
}

/* Returns true if `text` is a valid entry of the setting `peers`,
 * name/role/domain/region/host:port. Modifies `text`. */
static bool
is_peer_entry(char *text)
{
    char *save = NULL;
    char *parts[5];
    size_t count = 0;
    for (char *part = strtok_r(text, "/", &save); part != NULL;
         part = strtok_r(NULL, "/", &save)) {
        if (count == SR_LENGTH(parts)) {
            return false;
        }
        parts[count++] = part;
    }
    if (count != SR_LENGTH(parts)) {
        return false;
    }
    bool role =
        strcmp(parts[1], "gate") == 0 || strcmp(parts[1], "scheduler") == 0;
    return role && SrUtil_IsId(parts[0]) && SrUtil_IsId(parts[2]) &&
           SrUtil_IsId(parts[3]) && is_address(parts[4]);
}

static bool
is_peer_list(const char *text)
{
    SR_CLEANUP(SrUtil_FreePointer) char *copy = SrUtil_Strdup(text);
    char *save = NULL;
    for (char *peer = strtok_r(copy, ",", &save); peer != NULL;
         peer = strtok_r(NULL, ",", &save)) {
        if (!is_peer_entry(peer)) {
            return false;
        }
    }
    return true;
}

static bool
is_level(const char *text)
{
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    for (size_t i = 0; i < SR_LENGTH(levels); i++) {
        if (strcmp(text, levels[i]) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_text_valid(const struct Setting *setting, const char *value)
{
    switch (setting->kind) {
    case SETTING_ID:
        return SrUtil_IsId(value);
    case SETTING_ADDRESS:
        return is_address(value);
    case SETTING_PEERS:
        return is_peer_list(value);
    case SETTING_SECRET:
        return strlen(value) >= 16;
    case SETTING_HEX:
        return strlen(value) == 64 && strspn(value, "0123456789abcdef") == 64;
    case SETTING_LEVEL:
        return is_level(value);
    case SETTING_NUMBER:
        break;
    }
    return false;
}

/* Returns the text to print for a value; hides secrets. */
static const char *
shown_value(const struct Setting *setting, const char *value)
{
    return setting->kind == SETTING_SECRET ? "(secret)" : value;
}

static enum SrSettingsError
set_number(struct SrSettings *settings, const struct Setting *setting,
           const char *value, FILE *errors)
{
    char *end;
    errno = 0;
    long long number = strtoll(value, &end, 10);
    if (end == value || *end != '\0' || errno != 0) {
        fprintf(errors, "setting %s: value '%s' is not a whole number\n",
                setting->flag, value);
        return SR_SETTINGS_NOT_A_NUMBER;
    }
    if (number < setting->min || number > setting->max) {
        fprintf(errors,
                "setting %s: value %s is outside the range %lld to %lld %s\n",
                setting->flag, value, (long long)setting->min,
                (long long)setting->max, setting->unit);
        return SR_SETTINGS_OUT_OF_RANGE;
    }
    *number_of(settings, setting) = number;
    return SR_SETTINGS_OK;
}

static enum SrSettingsError
set_value(struct SrSettings *settings, const struct Setting *setting,
          const char *value, FILE *errors)
{
    if (setting->kind == SETTING_NUMBER) {
        return set_number(settings, setting, value, errors);
    }
    if (!is_text_valid(setting, value)) {
        fprintf(errors, "setting %s: value '%s' is malformed; expected: %s\n",
                setting->flag, shown_value(setting, value), setting->doc);
        return SR_SETTINGS_BAD_TEXT;
    }
    char **slot = text_of(settings, setting);
    free(*slot);
    *slot = SrUtil_Strdup(value);
    return SR_SETTINGS_OK;
}

enum SrSettingsError
SrSettings_Load(struct SrSettings *settings, FILE *errors)
{
    char variable[96];
    memset(settings, 0, sizeof(*settings));
    for (size_t i = 0; i < SR_LENGTH(table); i++) {
        variable_name(&table[i], variable, sizeof(variable));
        const char *value = getenv(variable);
        if (value == NULL) {
            value = table[i].default_value;
        }
        if (value == NULL) {
            continue;
        }
        enum SrSettingsError error =
            set_value(settings, &table[i], value, errors);
        if (error != SR_SETTINGS_OK) {
            return error;
        }
    }
    return SR_SETTINGS_OK;
}

enum SrSettingsError
SrSettings_Set(struct SrSettings *settings, const char *flag,
               const char *value, FILE *errors)
{
    for (size_t i = 0; i < SR_LENGTH(table); i++) {
        if (strcmp(table[i].flag, flag) == 0) {
            return set_value(settings, &table[i], value, errors);
        }
    }
    fprintf(errors, "setting %s: unknown setting\n", flag);
    return SR_SETTINGS_UNKNOWN_NAME;
}

enum SrSettingsError
SrSettings_SetByKey(struct SrSettings *settings, int key, const char *value,
                    FILE *errors)
{
    size_t index = (size_t)(key - SR_SETTINGS_KEY);
    if (key < SR_SETTINGS_KEY || index >= SR_LENGTH(table)) {
        return SR_SETTINGS_UNKNOWN_NAME;
    }
    return set_value(settings, &table[index], value, errors);
}

/* Checks that the value of one setting is less than half of another's. */
static enum SrSettingsError
check_less_than_half(const char *small_flag, int64_t small_ms,
                     const char *large_flag, int64_t large_ms, FILE *errors)
{
    if (small_ms * 2 < large_ms) {
        return SR_SETTINGS_OK;
    }
    fprintf(errors,
            "setting %s: value %lld must be less than half of %s, which is "
            "%lld\n",
            small_flag, (long long)small_ms, large_flag, (long long)large_ms);
    return SR_SETTINGS_INCONSISTENT;
}

enum SrSettingsError
SrSettings_Check(const struct SrSettings *settings, FILE *errors)
{
    for (size_t i = 0; i < SR_LENGTH(table); i++) {
        if (table[i].required && *text_of(settings, &table[i]) == NULL) {
            char variable[96];
            variable_name(&table[i], variable, sizeof(variable));
            fprintf(errors, "setting %s: missing; set --%s or %s\n",
                    table[i].flag, table[i].flag, variable);
            return SR_SETTINGS_MISSING;
        }
    }
    enum SrSettingsError error =
        check_less_than_half("renew-ms", settings->renew_ms, "lease-ms",
                             settings->lease_ms, errors);
    if (error == SR_SETTINGS_OK) {
        error =
            check_less_than_half("term-renew-ms", settings->term_renew_ms,
                                 "term-ttl-ms", settings->term_ttl_ms, errors);
    }
    if (error == SR_SETTINGS_OK) {
        error =
            check_less_than_half("heartbeat-ms", settings->heartbeat_ms,
                                 "suspect-ms", settings->suspect_ms, errors);
    }
    if (error == SR_SETTINGS_OK) {
        error = check_less_than_half("term-renew-ms", settings->term_renew_ms,
                                     "config-lease-ms",
                                     settings->config_lease_ms, errors);
    }
    return error;
}

void
SrSettings_Clear(struct SrSettings *settings)
{
    for (size_t i = 0; i < SR_LENGTH(table); i++) {
        if (table[i].kind != SETTING_NUMBER) {
            free(*text_of(settings, &table[i]));
        }
    }
    memset(settings, 0, sizeof(*settings));
}

struct argp_option *
SrSettings_Options(void)
{
    struct argp_option *options =
        SrUtil_Calloc(SR_LENGTH(table) + 1, sizeof(*options));
    for (size_t i = 0; i < SR_LENGTH(table); i++) {
        options[i] = (struct argp_option){
            .name = table[i].flag,
            .key = SR_SETTINGS_KEY + (int)i,
            .arg = table[i].unit != NULL ? table[i].unit : "TEXT",
            .doc = table[i].doc,
        };
    }
    return options;
}

void
SrSettings_Print(const struct SrSettings *settings, FILE *out)
{
    for (size_t i = 0; i < SR_LENGTH(table); i++) {
        const struct Setting *setting = &table[i];
        if (setting->kind == SETTING_NUMBER) {
            fprintf(out, "%s=%lld %s\n", setting->flag,
                    (long long)*number_of(settings, setting), setting->unit);
            continue;
        }
        const char *value = *text_of(settings, setting);
        fprintf(out, "%s=%s\n", setting->flag,
                shown_value(setting, value != NULL ? value : ""));
    }
}

void
SrSettings_PrintMarkdown(FILE *out)
{
    char variable[96];
    fputs("# Settings\n\nGenerated by `make settings-doc`. A flag takes "
          "precedence over the environment variable, which takes precedence "
          "over the default.\n\n"
          "| flag | variable | unit | range | default | meaning |\n"
          "| --- | --- | --- | --- | --- | --- |\n",
          out);
    for (size_t i = 0; i < SR_LENGTH(table); i++) {
        const struct Setting *setting = &table[i];
        char range[64] = "";
        if (setting->kind == SETTING_NUMBER) {
            snprintf(range, sizeof(range), "%lld to %lld",
                     (long long)setting->min, (long long)setting->max);
        }
        variable_name(setting, variable, sizeof(variable));
        fprintf(out, "| `--%s` | `%s` | %s | %s | %s | %s |\n", setting->flag,
                variable, setting->unit != NULL ? setting->unit : "text",
                range,
                setting->required ? "required"
                                  : (setting->default_value[0] != '\0'
                                         ? setting->default_value
                                         : "(empty)"),
                setting->doc);
    }
}
