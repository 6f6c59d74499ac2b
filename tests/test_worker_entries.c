/* Workers' entries in the store that another writer has left or changed.
 * Guards against nodes that end or no longer follow the list because of one
 * such entry, and against the loss of the runs of a worker whose entry is
 * replaced.
 */
#include "test_support.h"

#include <stdlib.h>

#include "log.h"
#include "platform_decode.h"

struct EntryCase {
    const char *name;
    /* Replaces the value of the member `field`, which is added if there is
     * none. */
    const char *field;
    /* JSON text; NULL removes the member. */
    const char *value;
    enum SrDecodeError error;
    /* The member that the error names. */
    const char *reported;
};

#define VALID(name, field, value)                                             \
    {                                                                         \
        name, field, value, SR_DECODE_OK, ""                                  \
    }
#define INVALID(name, field, value, error)                                    \
    {                                                                         \
        name, field, value, SR_DECODE_##error, field                          \
    }
#define IGNORED(name, value) VALID(name, "version", value)
#define UNREADABLE(name, value)                                               \
    {                                                                         \
        name, "version", value, SR_DECODE_NOT_JSON, "entry"                   \
    }
#define ADDRESS(name, text) INVALID(name, "address", "\"" text "\"", BAD_VALUE)
/* Value of another member, followed by the state "draining" and `more`. */
#define DRAINING(more) "0,\"state\":\"draining\"" more
#define DIGITS_20 "99999999999999999999"
#define DIGITS_400                                                            \
    DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20     \
        DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 \
            DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20 DIGITS_20
#define CHARACTERS_64                                                         \
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static const struct EntryCase entry_cases[] = {
    IGNORED("unchanged", "\"v1\""),
    IGNORED("ignored field of another type", "[{\"a\":-1e300}]"),
    IGNORED("ignored field is missing", NULL),
    UNREADABLE("integer of 64 bits", "9223372036854775808"),
    UNREADABLE("integer of 20 digits", DIGITS_20),
    UNREADABLE("integer of 400 digits", DIGITS_400),
    UNREADABLE("negative integer of 400 digits", "-" DIGITS_400),
    UNREADABLE("real out of range", "1e999"),
    UNREADABLE("not a number", "NaN"),
    UNREADABLE("infinity", "-Infinity"),
    UNREADABLE("zero character in a string", "\"a\\u0000b\""),
    UNREADABLE("bytes that are not UTF-8", "\"\xff\xfe\""),
    UNREADABLE("half of a surrogate pair", "\"\\ud800\""),
    ADDRESS("port 0", "10.0.0.1:0"),
    ADDRESS("port 65536", "10.0.0.1:65536"),
    ADDRESS("port of five digits", "10.0.0.1:99999"),
    ADDRESS("port of 11 digits", "10.0.0.1:99999999999"),
    ADDRESS("port -1", "10.0.0.1:-1"),
    ADDRESS("port +80", "10.0.0.1:+80"),
    ADDRESS("port with a fraction", "10.0.0.1:80.5"),
    ADDRESS("empty port", "10.0.0.1:"),
    ADDRESS("no port", "10.0.0.1"),
    ADDRESS("no host", ":80"),
    ADDRESS("colon only", ":"),
    ADDRESS("two ports", "10.0.0.1:80:80"),
    ADDRESS("a fifth byte", "10.0.0.1.1:80"),
    ADDRESS("IPv6 without brackets", "::1:80"),
    ADDRESS("IPv6 without an end", "[::1:80"),
    ADDRESS("a host name", "worker.example:80"),
    ADDRESS("space before", " 10.0.0.1:80"),
    ADDRESS("space after", "10.0.0.1:80 "),
    ADDRESS("user", "user@10.0.0.1:80"),
    ADDRESS("user with a port", "10.0.0.1:80@10.0.0.2:80"),
    ADDRESS("path", "10.0.0.1:80/path"),
    ADDRESS("query", "10.0.0.1:80?a=1"),
    ADDRESS("fragment", "10.0.0.1:80#a"),
    ADDRESS("scheme", "http://10.0.0.1:80"),
    ADDRESS("line break", "10.0.0.1:80\\r\\nX-Header: a"),
    ADDRESS("control character", "10.0.0.1\\u0001:80"),
    ADDRESS("not ASCII", "10.0.0.\xc3\xa9:80"),
    ADDRESS("address is too long", CHARACTERS_64 ":80"),
    INVALID("address of another type", "address", "{\"a\":\"10.0.0.1\"}",
            BAD_TYPE),
    INVALID("empty address", "address", "\"\"", MISSING),
    VALID("port 65535", "address", "\"10.0.0.1:65535\""),
    VALID("IPv6 address", "address", "\"[fd00::1]:80\""),
    INVALID("service is too long", "service", "\"" CHARACTERS_64 "1\"",
            BAD_VALUE),
    INVALID("domain is too long", "zone", "\"" CHARACTERS_64 "1\"", BAD_VALUE),
    INVALID("domain of another type", "zone", "7", BAD_TYPE),
    INVALID("state of another type", "state", "null", BAD_TYPE),
    VALID("huge capacity", "capacity",
          "{\"cpu\":4294967295,\"mem_mb\":4294967295,\"gpu\":4294967295}"),
    VALID("no capacity left", "capacity",
          "{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}"),
    INVALID("capacity of over 32 bits", "capacity", "{\"gpu\":4294967296}",
            BAD_TYPE),
    INVALID("capacity is a real", "capacity", "{\"gpu\":1e300}", BAD_TYPE),
    INVALID("labels are a string", "labels", "\"a\"", BAD_TYPE),
    INVALID("labels are an object", "labels", "{\"a\":\"b\"}", BAD_TYPE),
    INVALID("rack is too long", "labels", "[\"a\",\"" CHARACTERS_64 "1\"]",
            BAD_VALUE),
    VALID("no born", "born", NULL),
    INVALID("born is 0", "born", "0", BAD_VALUE),
    INVALID("born is negative", "born", "-1700000000000", BAD_VALUE),
    INVALID("born is too large", "born", "9223372036854775807", BAD_VALUE),
    INVALID("born twice", "born", "1700000000000,\"born\":-1", BAD_VALUE),
    VALID("ignored remaining time", "remaining_ms", "-1"),
    VALID("ignored huge remaining time", "remaining_ms",
          "9223372036854775807"),
    {"draining without the time", "state", "\"draining\"", SR_DECODE_MISSING,
     "remaining_ms"},
    INVALID("draining, negative time", "remaining_ms",
            DRAINING(",\"remaining_ms\":-1"), BAD_VALUE),
    INVALID("draining, huge time", "remaining_ms",
            DRAINING(",\"remaining_ms\":9223372036854775807"), BAD_VALUE),
    VALID("draining", "remaining_ms", DRAINING(",\"remaining_ms\":5000")),
};

struct NestedCase {
    /* Member whose value is nested. */
    const char *field;
    unsigned depth;
    const char *open;
    const char *close;
    enum SrDecodeError error;
};

static const struct NestedCase nested_cases[] = {
    {"version", 1000, "[", "]", SR_DECODE_OK},
    {"version", 100000, "[", "]", SR_DECODE_NOT_JSON},
    {"version", 100000, "{\"a\":", "}", SR_DECODE_NOT_JSON},
    {"version", 100000, "[", "", SR_DECODE_NOT_JSON},
    {"address", 1000, "[", "]", SR_DECODE_BAD_TYPE},
    {"address", 100000, "[", "]", SR_DECODE_NOT_JSON},
    {"labels", 1000, "[", "]", SR_DECODE_BAD_TYPE},
    {"capacity", 1000, "{\"gpu\":", "}", SR_DECODE_BAD_TYPE},
};

/* Appends `text` to the string `*to`, which has its own buffer. */
static void
append(char **to, const char *text)
{
    size_t length = *to != NULL ? strlen(*to) : 0;
    *to = SrUtil_Realloc(*to, length + strlen(text) + 1);
    memcpy(*to + length, text, strlen(text) + 1);
}

/* Returns a valid entry, with `value` as that of the member `field`. The
 * caller frees it. */
static char *
make_entry(const char *field, const char *value)
{
    static const char *const members[][2] = {
        {"service", "\"s\""},
        {"address", "\"10.0.0.1:80\""},
        {"zone", "\"z\""},
        {"state", "\"ready\""},
        {"capacity", "{\"cpu\":16000,\"mem_mb\":32000,\"gpu\":8}"},
        {"labels", "[\"a\",\"r1-3\"]"},
        {"born", "1700000000000"},
        {"version", "\"v1\""},
        {"remaining_ms", NULL},
    };
    char *text = NULL;
    append(&text, "{\"slots\":8");
    for (size_t i = 0; i < SR_LENGTH(members); i++) {
        bool changed = strcmp(members[i][0], field) == 0;
        const char *to = changed ? value : members[i][1];
        if (to != NULL) {
            append(&text, ",\"");
            append(&text, members[i][0]);
            append(&text, "\":");
            append(&text, to);
        }
    }
    append(&text, "}");
    return text;
}

/* Returns the value of the case. The caller frees it. */
static char *
make_nested(const struct NestedCase *c)
{
    size_t open_length = strlen(c->open);
    size_t close_length = strlen(c->close);
    char *text = SrUtil_Calloc(1, c->depth * (open_length + close_length) + 2);
    char *at = text;
    for (unsigned i = 0; i < c->depth; i++, at += open_length) {
        memcpy(at, c->open, open_length);
    }
    *at++ = '1';
    for (unsigned i = 0; i < c->depth; i++, at += close_length) {
        memcpy(at, c->close, close_length);
    }
    return text;
}

static void
odd_entries_name_no_worker(void **state)
{
    (void)state;
    unsigned wrong = 0;
    for (size_t i = 0; i < SR_LENGTH(entry_cases); i++) {
        const struct EntryCase *c = &entry_cases[i];
        struct SrWorkerEntry entry;
        const char *field = "";
        char *text = make_entry(c->field, c->value);
        enum SrDecodeError error =
            SrPlatform_DecodeWorker("w1", text, strlen(text), &entry, &field);
        free(text);
        if (error != c->error ||
            (error != SR_DECODE_OK && strcmp(field, c->reported) != 0)) {
            print_message("%s: %s, field %s\n", c->name,
                          SrDecode_ErrorText(error), field);
            wrong++;
        }
    }
    assert_int_equal(wrong, 0);
}

static void
nested_entries_are_read_or_refused(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(nested_cases); i++) {
        const struct NestedCase *c = &nested_cases[i];
        struct SrWorkerEntry entry;
        const char *field = "";
        char *value = make_nested(c);
        char *text = make_entry(c->field, value);
        assert_int_equal(
            SrPlatform_DecodeWorker("w1", text, strlen(text), &entry, &field),
            c->error);
        free(value);
        free(text);
    }
}

struct IdCase {
    const char *id;
    enum SrDecodeError error;
};

static const struct IdCase id_cases[] = {
    {"i-7f3a91c2", SR_DECODE_OK},
    {"a/b:c@d~e+f", SR_DECODE_OK},
    {CHARACTERS_64, SR_DECODE_OK},
    /* Two ids of this length had the same first 64 characters. */
    {CHARACTERS_64 "1", SR_DECODE_BAD_VALUE},
    {CHARACTERS_64 "2", SR_DECODE_BAD_VALUE},
    {"", SR_DECODE_BAD_VALUE},
    {"a b", SR_DECODE_BAD_VALUE},
    {"a\tb", SR_DECODE_BAD_VALUE},
    {"a\r\nX-Lease-Holder: b", SR_DECODE_BAD_VALUE},
    {"a\x7f", SR_DECODE_BAD_VALUE},
    {"\xc3\xa9", SR_DECODE_BAD_VALUE},
};

/* Guards against ids that are cut to the same first characters, and against
 * ids that add lines to the header in which a command names its worker. */
static void
odd_ids_name_no_worker(void **state)
{
    (void)state;
    char *text = make_entry("", NULL);
    unsigned wrong = 0;
    for (size_t i = 0; i < SR_LENGTH(id_cases); i++) {
        const struct IdCase *c = &id_cases[i];
        struct SrWorkerEntry entry;
        const char *field = "";
        enum SrDecodeError error =
            SrPlatform_DecodeWorker(c->id, text, strlen(text), &entry, &field);
        if (error != c->error ||
            (error != SR_DECODE_OK && strcmp(field, "id") != 0)) {
            print_message("id %s: %s, field %s\n", c->id,
                          SrDecode_ErrorText(error), field);
            wrong++;
        }
    }
    free(text);
    assert_int_equal(wrong, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(odd_entries_name_no_worker),
        cmocka_unit_test(nested_entries_are_read_or_refused),
        cmocka_unit_test(odd_ids_name_no_worker),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
