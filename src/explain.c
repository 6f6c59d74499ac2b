#include "explain.h"

#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "util.h"

/* Length of a time stamp such as 2026-03-02T07:12:16.000Z. */
#define TIMESTAMP_LENGTH 24
#define WORKERS_MAX 256

struct Line {
    /* The line from its time stamp on. */
    char *text;
    /* Position in the input; orders lines with the same time stamp. */
    size_t order;
};

struct Lines {
    struct Line *lines;
    size_t count;
    size_t capacity;
};

/* Period and workers of the log lines about an id. */
struct Timeline {
    const char *id;
    /* Time stamps of the first and the last line about the id. */
    char first[TIMESTAMP_LENGTH + 1];
    char last[TIMESTAMP_LENGTH + 1];
    /* The latest line that says why nothing of the job runs, unless something
     * ran or the job ended since; else NULL. */
    const char *idle;
    /* Workers named in lines about the id. */
    char workers[WORKERS_MAX][SR_ID_SIZE];
    size_t worker_count;
};

static const char *const error_texts[] = {
    [SR_EXPLAIN_OK] = "no error",
    [SR_EXPLAIN_NO_FILE] = "a file cannot be read",
    [SR_EXPLAIN_NOT_FOUND] = "no log line is about this id",
};

/* Texts in lines that may explain the course of any job: lines about the
 * store, leadership, failure domains, and starts and stops of processes. */
static const char *const context_events[] = {
    "service=ledger ", "service=follower ", "event=loaded ",
    "event=started ",  "event=stop-asked ", "event=domain-",
};

const char *
SrExplain_ErrorText(enum SrExplainError error)
{
    return error_texts[error];
}

/* Returns the start of the first time stamp in the text, or NULL. */
static const char *
find_timestamp(const char *text)
{
    for (; *text != '\0'; text++) {
        if (isdigit((unsigned char)text[0]) &&
            strlen(text) > TIMESTAMP_LENGTH && text[4] == '-' &&
            text[10] == 'T' && text[23] == 'Z') {
            return text;
        }
    }
    return NULL;
}

static void
add_line(struct Lines *lines, const char *text)
{
    if (lines->count == lines->capacity) {
        lines->capacity = lines->capacity > 0 ? lines->capacity * 2 : 1024;
        lines->lines = SrUtil_Realloc(lines->lines,
                                      lines->capacity * sizeof(*lines->lines));
    }
    struct Line *line = &lines->lines[lines->count];
    line->text = SrUtil_Strdup(text);
    line->order = lines->count++;
}

static void
read_file(FILE *file, struct Lines *lines)
{
    char *text = NULL;
    size_t capacity = 0;
    while (getline(&text, &capacity, file) > 0) {
        const char *from = find_timestamp(text);
        text[strcspn(text, "\r\n")] = '\0';
        if (from != NULL) {
            add_line(lines, from);
        }
    }
    free(text);
}

static int
compare_lines(const void *left, const void *right)
{
    const struct Line *a = left;
    const struct Line *b = right;
    int order = strncmp(a->text, b->text, TIMESTAMP_LENGTH);
    if (order != 0) {
        return order;
    }
    return a->order < b->order ? -1 : a->order > b->order;
}

/* True if the line has a field with this name and value. `name` includes the
 * leading space and the equals sign. A value that continues with a dot matches
 * too, because a task's name begins with the id of its job and a dot. */
static bool
has_field(const char *text, const char *name, const char *value)
{
    size_t name_length = strlen(name);
    size_t length = strlen(value);
    for (const char *at = text; (at = strstr(at, value)) != NULL; at++) {
        char end = at[length];
        if (at >= text + name_length + 1 &&
            strncmp(at - name_length, name, name_length) == 0 &&
            (end == ' ' || end == '\0' || end == '.')) {
            return true;
        }
    }
    return false;
}

static bool
is_about(const struct Timeline *timeline, const char *text)
{
    return has_field(text, " id=", timeline->id) ||
           has_field(text, " task=", timeline->id) ||
           has_field(text, " to=", timeline->id);
}

static void
add_worker(struct Timeline *timeline, const char *text)
{
    char worker[SR_ID_SIZE];
    const char *at = strstr(text, " worker=");
    if (at == NULL || sscanf(at, " worker=%64s", worker) != 1 ||
        timeline->worker_count == WORKERS_MAX) {
        return;
    }
    for (size_t i = 0; i < timeline->worker_count; i++) {
        if (strcmp(timeline->workers[i], worker) == 0) {
            return;
        }
    }
    SrUtil_Copy(timeline->workers[timeline->worker_count++], SR_ID_SIZE,
                worker);
}

/* Events after which a former reason why nothing of the job runs is void. */
static const char *const ends_of_idle[] = {
    " event=run-started ",
    " event=completed ",
    " event=failed ",
    " event=cancelled ",
};

static void
update_idle(struct Timeline *timeline, const char *text)
{
    if (strstr(text, " event=idle ") != NULL) {
        timeline->idle = text;
    }
    for (size_t i = 0; i < SR_LENGTH(ends_of_idle); i++) {
        if (strstr(text, ends_of_idle[i]) != NULL) {
            timeline->idle = NULL;
        }
    }
}

static void
scan_lines(struct Timeline *timeline, const struct Lines *lines)
{
    for (size_t i = 0; i < lines->count; i++) {
        const char *text = lines->lines[i].text;
        if (!is_about(timeline, text)) {
            continue;
        }
        if (timeline->first[0] == '\0') {
            SrUtil_Copy(timeline->first, sizeof(timeline->first), text);
        }
        SrUtil_Copy(timeline->last, sizeof(timeline->last), text);
        update_idle(timeline, text);
        add_worker(timeline, text);
    }
}

/* True if a line that is not about the id belongs to the timeline: the line is
 * of the same period, and concerns all jobs or a worker of this job. */
static bool
is_in_context(const struct Timeline *timeline, const char *text)
{
    if (strncmp(text, timeline->first, TIMESTAMP_LENGTH) < 0 ||
        strncmp(text, timeline->last, TIMESTAMP_LENGTH) > 0) {
        return false;
    }
    for (size_t i = 0; i < SR_LENGTH(context_events); i++) {
        if (strstr(text, context_events[i]) != NULL) {
            return true;
        }
    }
    if (strstr(text, " id=") != NULL) {
        return false;
    }
    for (size_t i = 0; i < timeline->worker_count; i++) {
        if (has_field(text, " worker=", timeline->workers[i])) {
            return true;
        }
    }
    return false;
}

static void
print_timeline(const struct Timeline *timeline, const struct Lines *lines,
               FILE *out)
{
    for (size_t i = 0; i < lines->count; i++) {
        const char *text = lines->lines[i].text;
        if (is_about(timeline, text)) {
            fprintf(out, "* %s\n", text);
        }
        else if (is_in_context(timeline, text)) {
            fprintf(out, "  %s\n", text);
        }
    }
    if (timeline->idle != NULL) {
        fprintf(out, "nothing runs, because: %s\n",
                strstr(timeline->idle, " id=") + 1);
    }
}

static void
free_lines(struct Lines *lines)
{
    for (size_t i = 0; i < lines->count; i++) {
        free(lines->lines[i].text);
    }
    free(lines->lines);
}

enum SrExplainError
SrExplain_Run(const char *id, char *const *files, int file_count, FILE *out,
              FILE *errors)
{
    struct Timeline timeline = {.id = id};
    SR_CLEANUP(free_lines) struct Lines lines = {.count = 0};
    for (int i = 0; i < file_count; i++) {
        FILE *file = fopen(files[i], "r");
        if (file == NULL) {
            fprintf(errors, "explain: file '%s': %s\n", files[i],
                    error_texts[SR_EXPLAIN_NO_FILE]);
            return SR_EXPLAIN_NO_FILE;
        }
        read_file(file, &lines);
        fclose(file);
    }
    if (file_count == 0) {
        read_file(stdin, &lines);
    }
    if (lines.count > 0) {
        qsort(lines.lines, lines.count, sizeof(*lines.lines), compare_lines);
    }
    scan_lines(&timeline, &lines);
    if (timeline.first[0] == '\0') {
        fprintf(errors, "explain: id '%s': %s\n", id,
                error_texts[SR_EXPLAIN_NOT_FOUND]);
        return SR_EXPLAIN_NOT_FOUND;
    }
    print_timeline(&timeline, &lines, out);
    return SR_EXPLAIN_OK;
}
