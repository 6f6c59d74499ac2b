#include "explain.h"

#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "util.h"

/* As in 2026-03-02T07:12:16.000Z. */
#define TIME_LENGTH 24
#define WORKERS_MAX 256

struct Line {
    /* From its time on. */
    char *text;
    size_t order;
};

struct Lines {
    struct Line *lines;
    size_t count;
    size_t room;
};

struct Story {
    const char *id;
    /* Time of the first and the last line about the id. */
    char first[TIME_LENGTH + 1];
    char last[TIME_LENGTH + 1];
    char workers[WORKERS_MAX][SR_ID_SIZE];
    size_t worker_count;
};

static const char *const error_texts[] = {
    [SR_EXPLAIN_OK] = "no error",
    [SR_EXPLAIN_NO_FILE] = "a file cannot be read",
    [SR_EXPLAIN_NOT_FOUND] = "no line is about this id",
};

/* Events that bear on every request: what is believed of the store, of the
 * leadership and of the configuration. */
static const char *const shared_events[] = {
    "service=ledger ", "service=follower ", "event=loaded ",
    "event=started ",  "event=stop-asked ", "event=domain-",
};

const char *
SrExplain_ErrorText(enum SrExplainError error)
{
    return error_texts[error];
}

/* The place where a time begins, or NULL. */
static const char *
find_time(const char *text)
{
    for (; *text != '\0'; text++) {
        if (isdigit((unsigned char)text[0]) && strlen(text) > TIME_LENGTH &&
            text[4] == '-' && text[10] == 'T' && text[23] == 'Z') {
            return text;
        }
    }
    return NULL;
}

static void
add_line(struct Lines *lines, const char *text)
{
    if (lines->count == lines->room) {
        lines->room = lines->room > 0 ? lines->room * 2 : 1024;
        lines->lines =
            SrUtil_Realloc(lines->lines, lines->room * sizeof(*lines->lines));
    }
    struct Line *line = &lines->lines[lines->count];
    line->text = SrUtil_Strdup(text);
    line->order = lines->count++;
}

static void
read_file(FILE *file, struct Lines *lines)
{
    char *text = NULL;
    size_t room = 0;
    while (getline(&text, &room, file) > 0) {
        const char *from = find_time(text);
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
    int order = strncmp(a->text, b->text, TIME_LENGTH);
    if (order != 0) {
        return order;
    }
    return a->order < b->order ? -1 : a->order > b->order;
}

/* True if the line has the pair `name`=`value`, or a value that begins so and
 * goes on behind a dot, as a task's name does. */
static bool
has_pair(const char *text, const char *name, const char *value)
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
is_about(const struct Story *story, const char *text)
{
    return has_pair(text, " id=", story->id) ||
           has_pair(text, " task=", story->id) ||
           has_pair(text, " to=", story->id);
}

static void
note_worker(struct Story *story, const char *text)
{
    char worker[SR_ID_SIZE];
    const char *at = strstr(text, " worker=");
    if (at == NULL || sscanf(at, " worker=%64s", worker) != 1 ||
        story->worker_count == WORKERS_MAX) {
        return;
    }
    for (size_t i = 0; i < story->worker_count; i++) {
        if (strcmp(story->workers[i], worker) == 0) {
            return;
        }
    }
    SrUtil_Copy(story->workers[story->worker_count++], SR_ID_SIZE, worker);
}

static void
find_story(struct Story *story, const struct Lines *lines)
{
    for (size_t i = 0; i < lines->count; i++) {
        const char *text = lines->lines[i].text;
        if (!is_about(story, text)) {
            continue;
        }
        if (story->first[0] == '\0') {
            SrUtil_Copy(story->first, sizeof(story->first), text);
        }
        SrUtil_Copy(story->last, sizeof(story->last), text);
        note_worker(story, text);
    }
}

static bool
is_meanwhile(const struct Story *story, const char *text)
{
    if (strncmp(text, story->first, TIME_LENGTH) < 0 ||
        strncmp(text, story->last, TIME_LENGTH) > 0) {
        return false;
    }
    for (size_t i = 0; i < SR_LENGTH(shared_events); i++) {
        if (strstr(text, shared_events[i]) != NULL) {
            return true;
        }
    }
    if (strstr(text, " id=") != NULL) {
        return false;
    }
    for (size_t i = 0; i < story->worker_count; i++) {
        if (has_pair(text, " worker=", story->workers[i])) {
            return true;
        }
    }
    return false;
}

static void
print_story(const struct Story *story, const struct Lines *lines, FILE *out)
{
    for (size_t i = 0; i < lines->count; i++) {
        const char *text = lines->lines[i].text;
        if (is_about(story, text)) {
            fprintf(out, "* %s\n", text);
        }
        else if (is_meanwhile(story, text)) {
            fprintf(out, "  %s\n", text);
        }
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
    struct Story story = {.id = id};
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
    find_story(&story, &lines);
    if (story.first[0] == '\0') {
        fprintf(errors, "explain: id '%s': %s\n", id,
                error_texts[SR_EXPLAIN_NOT_FOUND]);
        return SR_EXPLAIN_NOT_FOUND;
    }
    print_story(&story, &lines, out);
    return SR_EXPLAIN_OK;
}
