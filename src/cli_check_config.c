#include "cli_check_config.h"

#include <argp.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "config_check.h"
#include "platform_decode.h"
#include "platform_locate.h"
#include "util.h"

#define EXIT_FINDINGS 1
#define OPTION_AGAINST 'a'
#define OPTION_OUTPUT 'o'

struct Document {
    const char *file;
    char *data;
    size_t size;
    struct SrCatalog *catalog;
};

struct Check {
    struct Document checked;
    /* The configuration in force; `file` is NULL if there is none. */
    struct Document in_force;
    /* Array of the findings if the output is JSON, else NULL. */
    json_t *list;
    FILE *out;
    bool is_json;
    size_t count;
};

/* A finding with its place in the document. */
struct Line {
    const struct Document *document;
    unsigned line;
    const char *list;
    size_t index;
    const char *field;
    const char *kind;
    const char *text;
    const char *name;
    const char *other;
};

static const struct argp_option options[] = {
    {.name = "against",
     .key = OPTION_AGAINST,
     .arg = "FILE",
     .doc = "configuration in force, to compare with"},
    {.name = "output",
     .key = OPTION_OUTPUT,
     .arg = "FORMAT",
     .doc = "text or json; text if not set"},
    {0},
};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct Check *check = state->input;
    switch (key) {
    case OPTION_AGAINST:
        check->in_force.file = text;
        return 0;
    case OPTION_OUTPUT:
        check->is_json = strcmp(text, "json") == 0;
        if (!check->is_json && strcmp(text, "text") != 0) {
            argp_error(state, "output: value '%s' is not text or json", text);
        }
        return 0;
    case ARGP_KEY_ARG:
        if (check->checked.file != NULL) {
            argp_error(state, "more than one FILE");
        }
        check->checked.file = text;
        return 0;
    case ARGP_KEY_END:
        if (check->checked.file == NULL) {
            argp_error(state, "FILE is missing");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Writes the path of a member, as in "routes[2].host". */
static void
print_path(char *to, size_t size, const struct Line *line)
{
    char list[64] = "";
    const char *field = line->field != NULL ? line->field : "";
    if (line->list != NULL) {
        snprintf(list, sizeof(list), "%s[%zu]", line->list, line->index);
    }
    snprintf(to, size, "%s%s%s", list,
             list[0] != '\0' && field[0] != '\0' ? "." : "", field);
}

static void
add_to_json(json_t *list, const struct Line *line, const char *path)
{
    json_t *object = json_pack("{s:s, s:s, s:s, s:i, s:s}", "kind", line->kind,
                               "file", line->document->file, "path", path,
                               "line", (int)line->line, "text", line->text);
    if (line->name != NULL) {
        json_object_set_new(object, "name", json_string(line->name));
    }
    if (line->other != NULL) {
        json_object_set_new(object, "other", json_string(line->other));
    }
    json_array_append_new(list, object);
}

static void
print_text(FILE *out, const struct Line *line, const char *path)
{
    fprintf(out, "%s:%u: ", line->document->file, line->line);
    if (path[0] != '\0') {
        fprintf(out, "%s: ", path);
    }
    if (line->name != NULL) {
        fprintf(out, "'%s': ", line->name);
    }
    fputs(line->text, out);
    if (line->other != NULL) {
        fprintf(out, " '%s'", line->other);
    }
    fputc('\n', out);
}

static void
report(struct Check *check, const struct Line *line)
{
    char path[128];
    print_path(path, sizeof(path), line);
    check->count++;
    if (check->is_json) {
        add_to_json(check->list, line, path);
    }
    else {
        print_text(check->out, line, path);
    }
}

static void
on_fault(void *context, const struct SrDecodeFault *fault)
{
    struct Check *check = context;
    report(check, &(struct Line){
                      .document = &check->checked,
                      .line = fault->line,
                      .list = fault->list,
                      .index = fault->index,
                      .field = fault->field,
                      .kind = "error",
                      .text = fault->text[0] != '\0'
                                  ? fault->text
                                  : SrDecode_ErrorText(fault->error),
                  });
}

static void
report_finding(struct Check *check, const struct SrConfigFinding *finding)
{
    struct Line line = {
        .document = finding->kind == SR_CONFIG_REMOVED ? &check->in_force
                                                       : &check->checked,
        .list = SrPlatform_ListName(finding->entry),
        .index = finding->index,
        .field = SrPlatform_FieldName(finding->field),
        .kind = SrConfigCheck_KindName(finding->kind),
        .text = SrConfigCheck_KindText(finding->kind),
        .name = finding->name,
        .other = finding->other,
    };
    line.line = SrPlatform_LineOf(line.document->data, line.document->size,
                                  line.list, line.index, line.field);
    report(check, &line);
}

/* Reads a file. Returns false, after a message, if that fails. */
static bool
read_document(struct Document *document)
{
    FILE *file = fopen(document->file, "r");
    FILE *copy = open_memstream(&document->data, &document->size);
    char block[4096];
    size_t size;
    while (file != NULL && (size = fread(block, 1, sizeof(block), file)) > 0) {
        fwrite(block, 1, size, copy);
    }
    bool failed = file == NULL || ferror(file);
    if (file != NULL) {
        fclose(file);
    }
    fclose(copy);
    if (failed) {
        fprintf(stderr, "check-config: cannot read '%s'\n", document->file);
    }
    return !failed;
}

/* Reads and decodes the configuration in force, if there is one. Returns
 * false, after a message, if that fails. */
static bool
load_in_force(struct Document *document)
{
    const char *field;
    if (document->file == NULL) {
        return true;
    }
    if (!read_document(document)) {
        return false;
    }
    enum SrDecodeError error = SrPlatform_DecodeCatalog(
        document->data, document->size, &document->catalog, &field);
    if (error != SR_DECODE_OK) {
        fprintf(stderr, "check-config: '%s': %s: %s\n", document->file, field,
                SrDecode_ErrorText(error));
    }
    return error == SR_DECODE_OK;
}

/* Reports the errors of the configuration, or else all other findings. */
static void
check_document(struct Check *check)
{
    struct Document *checked = &check->checked;
    struct SrConfigFindings findings;
    const char *field;
    if (!SrPlatform_CheckCatalog(checked->data, checked->size, on_fault,
                                 check) ||
        SrPlatform_DecodeCatalog(checked->data, checked->size,
                                 &checked->catalog, &field) != SR_DECODE_OK) {
        return;
    }
    SrConfigCheck_Run(checked->catalog, check->in_force.catalog, &findings);
    for (size_t i = 0; i < findings.count; i++) {
        report_finding(check, &findings.items[i]);
    }
    SrConfigCheck_Clear(&findings);
}

static void
print_json(struct Check *check)
{
    json_t *root = json_pack("{s:O}", "findings", check->list);
    json_dumpf(root, check->out, JSON_INDENT(2));
    fputc('\n', check->out);
    json_decref(root);
}

static void
free_document(struct Document *document)
{
    SrCatalog_Destroy(document->catalog);
    free(document->data);
}

int
SrCliCheckConfig_Run(int argc, char **argv, FILE *out)
{
    struct Check check = {.out = out};
    struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "FILE",
        .doc = "Check a configuration for a node's platform.",
    };
    int code = SR_EXIT_USAGE;
    argp_err_exit_status = SR_EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &check);
    if (!read_document(&check.checked) || !load_in_force(&check.in_force)) {
        goto end;
    }
    check.list = json_array();
    check_document(&check);
    if (check.is_json) {
        print_json(&check);
    }
    code = check.count > 0 ? EXIT_FINDINGS : SR_EXIT_OK;
    json_decref(check.list);
end:
    free_document(&check.checked);
    free_document(&check.in_force);
    return code;
}
