#include "test_support.h"

#include <stdlib.h>
#include <unistd.h>

#include "explain.h"

/* Log lines as nodes write them. The lines of the first file have a prefix, as
 * a log collector adds it. */
static const char first_log[] =
    "n1 | 2026-03-02T07:12:16.100Z level=info process=n1 service=intake "
    "event=answered id=00aa request=submit result=accepted\n"
    "n1 | 2026-03-02T07:12:16.300Z level=info process=n1 service=intake "
    "event=answered id=00bb request=submit result=accepted\n"
    "not a line of ours\n";
static const char second_log[] =
    "2026-03-02T07:12:16.200Z level=info process=n2 service=plan event=placed "
    "id=00aa step=0 index=0 run=1 worker=w1 rack=r1\n"
    "2026-03-02T07:12:16.050Z level=info process=n2 service=ledger "
    "event=elected term=3\n"
    "2026-03-02T07:12:18.000Z level=warn process=n2 service=engine "
    "event=lease-out worker=w1 silent-ms=6500\n"
    "2026-03-02T07:12:18.000Z level=warn process=n2 service=engine "
    "event=lease-out worker=w11 silent-ms=6500\n"
    "2026-03-02T07:12:17.000Z level=warn process=n2 service=ledger "
    "event=store-lost term=3\n"
    "2026-03-02T07:12:18.001Z level=info process=n2 service=engine "
    "event=unknown-run worker=w2 task=00aa.0.0.0 run=1\n"
    "2026-03-02T07:12:19.000Z level=info process=n2 service=ledger "
    "event=lost term=3\n"
    "2026-03-02T07:12:20.000Z level=info process=n2 service=plan event=idle "
    "id=00dd step=0 tasks=5 idle-ms=1000 reason=rack rack=any fit=3\n"
    "2026-03-02T07:12:21.000Z level=info process=n2 service=plan event=idle "
    "id=00ee step=0 tasks=5 idle-ms=1000 reason=shortage\n"
    "2026-03-02T07:12:22.000Z level=info process=n2 service=engine "
    "event=run-started id=00ee step=0 index=0 run=1 worker=w3\n";

static void
write_file(char *path, const char *text)
{
    int fd = mkstemp(path);
    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
}

static enum SrExplainError
explain(const char *id, char **text)
{
    char first[] = "/tmp/sr-explain-XXXXXX";
    char second[] = "/tmp/sr-explain-XXXXXX";
    char *files[] = {first, second};
    size_t size;
    write_file(first, first_log);
    write_file(second, second_log);
    FILE *out = open_memstream(text, &size);
    FILE *errors = fopen("/dev/null", "w");
    enum SrExplainError error = SrExplain_Run(id, files, 2, out, errors);
    fclose(out);
    fclose(errors);
    remove(first);
    remove(second);
    return error;
}

static void
timeline_is_in_order_and_includes_causes(void **state)
{
    (void)state;
    static const char *const events[] = {
        "* 2026-03-02T07:12:16.100Z", "event=placed id=00aa",
        "event=store-lost",           "event=lease-out worker=w1 ",
        "event=unknown-run",
    };
    char *text;
    assert_int_equal(explain("00aa", &text), SR_EXPLAIN_OK);
    const char *at = text;
    for (size_t i = 0; i < SR_LENGTH(events); i++) {
        at = strstr(at, events[i]);
        assert_non_null(at);
    }
    /* Lines about other jobs or workers, and lines from before or after the
     * job's period, are left out. */
    assert_null(strstr(text, "00bb"));
    assert_null(strstr(text, "worker=w11"));
    assert_null(strstr(text, "event=elected"));
    assert_null(strstr(text, "event=lost term"));
    free(text);
}

static void
cause_is_named_while_nothing_runs(void **state)
{
    (void)state;
    static const char cause[] = "\nnothing runs, because: id=00dd step=0 "
                                "tasks=5 idle-ms=1000 reason=rack ";
    char *text;
    assert_int_equal(explain("00dd", &text), SR_EXPLAIN_OK);
    assert_non_null(strstr(text, cause));
    free(text);
    /* Something of this job has started since. */
    assert_int_equal(explain("00ee", &text), SR_EXPLAIN_OK);
    assert_null(strstr(text, "nothing runs"));
    free(text);
}

static void
unknown_id_is_reported(void **state)
{
    (void)state;
    char *text;
    assert_int_equal(explain("00cc", &text), SR_EXPLAIN_NOT_FOUND);
    free(text);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(timeline_is_in_order_and_includes_causes),
        cmocka_unit_test(cause_is_named_while_nothing_runs),
        cmocka_unit_test(unknown_id_is_reported),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
