/* What check-config reports about a configuration. Guards against entries that
 * are accepted and never match, errors without their place, differences that
 * are not shown, and API keys in the output. */
#include "test_support.h"

#include <jansson.h>
#include <stdlib.h>
#include <unistd.h>

#include "cli_check_config.h"
#include "util.h"

struct Case {
    const char *name;
    const char *checked;
    /* Configuration in force, or NULL. */
    const char *in_force;
    /* Each finding as "LINE PATH KIND NAME OTHER", with "-" if there is none,
     * and a newline. */
    const char *findings;
};

#define QUEUE(name, host, prefix, more)                                       \
    "{\"name\":\"" name "\",\"host\":\"" host "\",\"path_prefix\":\"" prefix  \
    "\",\"service\":\"s\"" more "}"
#define SERVICES "\"services\":[{\"name\":\"s\"}]"
#define ACCOUNT(name, key, more)                                              \
    "{\"name\":\"" name "\",\"api_keys\":[\"" key "\"]" more "}"
#define BASE                                                                  \
    "{\"version\":1," SERVICES ",\"routes\":[" QUEUE("q", "h", "/q/", "") "]" \
                                                                          "}"

static const struct Case cases[] = {
    {"nothing", BASE, NULL, ""},
    {"not JSON", "{\"version\":1,\n\"routes\":[\n}", NULL, "3 - error - -\n"},
    {"not an object", "[]", NULL, "1 - error - -\n"},
    {"no version", "{}", NULL, "1 version error - -\n"},
    {"list of another type", "{\"version\":1,\n\"tenants\":{}}", NULL,
     "2 tenants error - -\n"},
    {"errors of entries",
     "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[\n"
     "{\"name\":\"a]}\\\"\",\"host\":\"h\",\"path_prefix\":\"/\"},\n" QUEUE(
         "b", "h", "/b/", ",\n\"priority\":\"high\"") ",\n7]}",
     NULL,
     "2 routes[0].service error - -\n4 routes[1].priority error - -\n"
     "5 routes[2].name error - -\n"},
    {"covered prefix",
     "{\"version\":1," SERVICES
     ",\"routes\":[" QUEUE("a", "h", "/q/", "") ",\n" QUEUE(
         "b", "H", "/q/", "") ",\n" QUEUE("c", "i", "/q/",
                                          "") ",\n" QUEUE("d", "h", "/q/long/",
                                                          "") "]}",
     NULL, "2 routes[1].path_prefix queue-covered b a\n"},
    {"hosts and prefixes that match nothing",
     "{\"version\":1," SERVICES ",\"routes\":[" QUEUE(
         "a", "h:80", "/q/", "") ",\n" QUEUE("b", "h", "q/", "") "]}",
     NULL,
     "1 routes[0].host queue-unreachable a -\n"
     "2 routes[1].path_prefix queue-unreachable b -\n"},
    {"services",
     "{\"version\":1,\"services\":[\n{\"name\":\"t\"}],\n\"routes\":[" QUEUE(
         "q", "h", "/q/", "") "]}",
     NULL,
     "3 routes[0].service service-unknown q s\n"
     "2 services[0] service-unused t -\n"},
    {"accounts",
     "{\"version\":1,\"tenants\":[" ACCOUNT("t", "secret", "") ",\n" ACCOUNT(
         "u", "secret",
         ",\"guaranteed_gpus\":{\"gpu\":8},\"cap\":{\"gpu\":"
         "7}") ",\n" ACCOUNT("t", "k",
                             ",\"guaranteed_gpus\":{\"gpu\":"
                             "8},\"cap\":{\"gpu\":0}") "]}",
     NULL,
     "3 tenants[2].name name-repeated t -\n"
     "2 tenants[1].api_keys key-shared u t\n"
     "2 tenants[1].guaranteed_gpus guarantee-above-cap u -\n"},
    {"same version", BASE, BASE, "1 version version-not-newer - -\n"},
    {"differences",
     "{\"version\":2," SERVICES
     ",\"routes\":[\n" QUEUE("q", "h", "/q/", ",\n\"priority\":1") ",\n" QUEUE(
         "new", "h", "/n/", "") "]}",
     "{\"version\":1,\"tenants\":[\n" ACCOUNT(
         "gone", "k", "") "]," SERVICES
                          ",\"routes\":[" QUEUE("q", "h", "/q/", "") "]}",
     "1 version changed - -\n3 routes[0].priority changed q -\n"
     "4 routes[1] added new -\n2 tenants[0] removed gone -\n"},
};

/* Writes the text to a new file; `path` is a template of mkstemp(). */
static void
write_file(char *path, const char *text)
{
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    close(fd);
}

static const char *
member(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL && text[0] != '\0' ? text : "-";
}

/* Writes the findings in the form of the cases. */
static void
list_findings(const char *output, char *to, size_t size)
{
    json_t *root = json_loads(output, 0, NULL);
    const json_t *list = json_object_get(root, "findings");
    assert_true(json_is_array(list));
    to[0] = '\0';
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *object = json_array_get(list, i);
        size_t length = strlen(to);
        snprintf(to + length, size - length, "%d %s %s %s %s\n",
                 (int)json_integer_value(json_object_get(object, "line")),
                 member(object, "path"), member(object, "kind"),
                 member(object, "name"), member(object, "other"));
    }
    json_decref(root);
}

/* Runs the command; returns its exit code and its output, which the caller
 * frees. */
static int
run(const char *file, const char *against, const char *format, char **output)
{
    char *arguments[6] = {(char *)"check-config", (char *)format, (char *)file,
                          NULL};
    int count = 3;
    size_t size = 0;
    if (against != NULL) {
        arguments[count++] = (char *)"--against";
        arguments[count++] = (char *)against;
    }
    FILE *out = open_memstream(output, &size);
    int code = SrCliCheckConfig_Run(count, arguments, out);
    fclose(out);
    return code;
}

static void
findings_have_their_place(void **state)
{
    (void)state;
    unsigned failures = 0;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        char checked[] = "/tmp/sr-checked-XXXXXX";
        char in_force[] = "/tmp/sr-in-force-XXXXXX";
        const char *against = c->in_force != NULL ? in_force : NULL;
        char findings[1024];
        char *output = NULL;
        char *text = NULL;
        write_file(checked, c->checked);
        write_file(in_force, c->in_force != NULL ? c->in_force : "");
        int code = run(checked, against, "--output=json", &output);
        int text_code = run(checked, against, "--output=text", &text);
        list_findings(output, findings, sizeof(findings));
        int expected = c->findings[0] != '\0' ? 1 : 0;
        if (code != expected || text_code != expected ||
            strcmp(findings, c->findings) != 0 ||
            strstr(text, "secret") != NULL ||
            strstr(output, "secret") != NULL) {
            print_message("%s: exit codes %d and %d\n%s%s\n", c->name, code,
                          text_code, findings, text);
            failures++;
        }
        free(output);
        free(text);
        unlink(checked);
        unlink(in_force);
    }
    assert_int_equal(failures, 0);
}

static void
missing_files_are_usage_errors(void **state)
{
    (void)state;
    char *output = NULL;
    assert_int_equal(
        run("/tmp/sr-no-such-file", NULL, "--output=json", &output), 64);
    free(output);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(findings_have_their_place),
        cmocka_unit_test(missing_files_are_usage_errors),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
