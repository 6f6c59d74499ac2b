/* Role platform: the store and the VM list, in memory. */
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "os.h"
#include "standin.h"

/* Largest number of rows in the reply to a scan. */
#define SCAN_MAX_ROWS 1000

struct Row {
    char *key;
    /* Version of the commit that last wrote the row. */
    uint64_t version;
    uint8_t *value;
    size_t size;
};

/* Rows in the order of their keys. */
static struct Row *rows;
static size_t row_count;
static size_t row_capacity;
/* Version of the latest commit. */
static uint64_t last_version;
static SrPlatform__Vm **vms;
static size_t vm_count;
/* Incremented by each registration of VMs. */
static uint64_t vm_revision;

/* Returns the index of the first row whose key is not less than `key`. */
static size_t
lower_bound(const char *key)
{
    size_t low = 0;
    size_t high = row_count;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (strcmp(rows[middle].key, key) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static struct Row *
find_row(const char *key)
{
    size_t at = lower_bound(key);
    return at < row_count && strcmp(rows[at].key, key) == 0 ? &rows[at] : NULL;
}

static void
put_row(const SrPlatform__TablePut *put, uint64_t version)
{
    struct Row *row = find_row(put->key);
    if (row == NULL) {
        size_t at = lower_bound(put->key);
        if (row_count == row_capacity) {
            row_capacity = row_capacity * 2 + 64;
            rows = SrUtil_Realloc(rows, row_capacity * sizeof(struct Row));
        }
        memmove(&rows[at + 1], &rows[at],
                (row_count - at) * sizeof(struct Row));
        row_count++;
        row = &rows[at];
        *row = (struct Row){.key = SrUtil_Strdup(put->key)};
    }
    free(row->value);
    row->value = SrUtil_Memdup(put->value.data, put->value.len);
    row->size = put->value.len;
    row->version = version;
}

static void
delete_row(const char *key)
{
    struct Row *row = find_row(key);
    if (row == NULL) {
        return;
    }
    size_t at = (size_t)(row - rows);
    free(row->key);
    free(row->value);
    row_count--;
    memmove(&rows[at], &rows[at + 1], (row_count - at) * sizeof(struct Row));
}

static void
fill_row(SrPlatform__TableRow *message, const struct Row *row)
{
    sr_platform__table_row__init(message);
    message->key = row->key;
    message->version = row->version;
    message->value.data = row->value;
    message->value.len = row->size;
}

static void
serve_read(struct Standin *standin, struct SrHttpRequest *request,
           const SrPlatform__TableReadRequest *read)
{
    SrPlatform__TableReadReply reply = SR_PLATFORM__TABLE_READ_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__TableRow *messages =
        SrUtil_Calloc(read->n_keys, sizeof(*messages));
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__TableRow **list =
        SrUtil_Calloc(read->n_keys, sizeof(SrPlatform__TableRow *));
    for (size_t i = 0; i < read->n_keys; i++) {
        const struct Row *row = find_row(read->keys[i]);
        if (row != NULL) {
            fill_row(&messages[reply.n_rows], row);
            list[reply.n_rows] = &messages[reply.n_rows];
            reply.n_rows++;
        }
    }
    reply.rows = list;
    Standin_Reply(standin, request, &reply);
}

static void
serve_scan(struct Standin *standin, struct SrHttpRequest *request,
           const SrPlatform__TableScanRequest *scan)
{
    SrPlatform__TableScanReply reply = SR_PLATFORM__TABLE_SCAN_REPLY__INIT;
    size_t limit = scan->limit > 0 && scan->limit <= SCAN_MAX_ROWS
                       ? scan->limit
                       : SCAN_MAX_ROWS;
    size_t prefix_length = strlen(scan->prefix);
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__TableRow *messages = SrUtil_Calloc(limit, sizeof(*messages));
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__TableRow **list =
        SrUtil_Calloc(limit, sizeof(SrPlatform__TableRow *));
    const char *from =
        strcmp(scan->after, scan->prefix) > 0 ? scan->after : scan->prefix;
    for (size_t at = lower_bound(from);
         at < row_count &&
         strncmp(rows[at].key, scan->prefix, prefix_length) == 0;
         at++) {
        if (strcmp(rows[at].key, scan->after) <= 0) {
            continue;
        }
        if (reply.n_rows == limit) {
            reply.more = true;
            break;
        }
        fill_row(&messages[reply.n_rows], &rows[at]);
        list[reply.n_rows] = &messages[reply.n_rows];
        reply.n_rows++;
    }
    reply.rows = list;
    Standin_Reply(standin, request, &reply);
}

static void
serve_commit(struct Standin *standin, struct SrHttpRequest *request,
             const SrPlatform__TableCommitRequest *commit)
{
    SrPlatform__TableCommitReply reply = SR_PLATFORM__TABLE_COMMIT_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    char **conflicts = SrUtil_Calloc(commit->n_conditions, sizeof(char *));
    for (size_t i = 0; i < commit->n_conditions; i++) {
        const struct Row *row = find_row(commit->conditions[i]->key);
        uint64_t version = row != NULL ? row->version : 0;
        if (version != commit->conditions[i]->version) {
            conflicts[reply.n_conflicts++] = commit->conditions[i]->key;
        }
    }
    reply.conflicts = conflicts;
    if (reply.n_conflicts == 0) {
        reply.committed = true;
        reply.version = ++last_version;
        for (size_t i = 0; i < commit->n_puts; i++) {
            put_row(commit->puts[i], reply.version);
        }
        for (size_t i = 0; i < commit->n_deletes; i++) {
            delete_row(commit->deletes[i]);
        }
    }
    Standin_MatchPause(standin,
                       commit->n_puts > 0 ? commit->puts[0]->key : "");
    Standin_Record(standin, "commit committed=%d puts=%zu first=%s",
                   reply.committed, commit->n_puts,
                   commit->n_puts > 0 ? commit->puts[0]->key : "-");
    Standin_Reply(standin, request, &reply);
}

static void
serve_vm_list(struct Standin *standin, struct SrHttpRequest *request,
              const SrPlatform__VmListRequest *query)
{
    SrPlatform__VmListReply reply = SR_PLATFORM__VM_LIST_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__Vm **list = SrUtil_Calloc(vm_count, sizeof(SrPlatform__Vm *));
    for (size_t i = 0; i < vm_count; i++) {
        if (query->known_revision != vm_revision &&
            strcmp(vms[i]->domain, query->domain) == 0) {
            list[reply.n_vms++] = vms[i];
        }
    }
    reply.revision = vm_revision;
    reply.vms = list;
    Standin_Reply(standin, request, &reply);
}

static void
put_vm(const SrPlatform__Vm *vm)
{
    size_t at = 0;
    while (at < vm_count && strcmp(vms[at]->id, vm->id) != 0) {
        at++;
    }
    if (at == vm_count) {
        vms = SrUtil_Realloc(vms, (vm_count + 1) * sizeof(SrPlatform__Vm *));
        vm_count++;
    }
    else {
        SrCodec_Free(vms[at]);
    }
    vms[at] = SrCodec_Clone(vm);
}

static void
serve_register(struct Standin *standin, struct SrHttpRequest *request,
               const SrPlatform__VmListReply *list)
{
    SrPlatform__VmListReply reply = SR_PLATFORM__VM_LIST_REPLY__INIT;
    for (size_t i = 0; i < list->n_vms; i++) {
        put_vm(list->vms[i]);
    }
    vm_revision++;
    reply.revision = vm_revision;
    Standin_Reply(standin, request, &reply);
}

static void
handle(struct Standin *standin, struct SrHttpRequest *request, int port)
{
    static const struct {
        const char *path;
        const ProtobufCMessageDescriptor *type;
    } methods[] = {
        {"/table/read", &sr_platform__table_read_request__descriptor},
        {"/table/scan", &sr_platform__table_scan_request__descriptor},
        {"/table/commit", &sr_platform__table_commit_request__descriptor},
        {"/vms/list", &sr_platform__vm_list_request__descriptor},
        {"/vms/register", &sr_platform__vm_list_reply__descriptor},
    };
    (void)port;
    const char *path = SrHttpRequest_Path(request);
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    size_t i = 0;
    while (i < SR_LENGTH(methods) && strcmp(methods[i].path, path) != 0) {
        i++;
    }
    void *message = i < SR_LENGTH(methods)
                        ? SrCodec_Unpack(methods[i].type, body, size)
                        : NULL;
    if (message == NULL) {
        Standin_Respond(standin, request, 400, "bad request\n", 12, NULL,
                        NULL);
        return;
    }
    switch (i) {
    case 0:
        serve_read(standin, request, message);
        break;
    case 1:
        serve_scan(standin, request, message);
        break;
    case 2:
        serve_commit(standin, request, message);
        break;
    case 3:
        serve_vm_list(standin, request, message);
        break;
    default:
        serve_register(standin, request, message);
        break;
    }
    SrCodec_Free(message);
}

void
Platform_Start(struct Standin *standin)
{
    standin->handle = handle;
    /* Revisions after a restart are higher than all earlier ones, so that
     * callers fetch the VM list again. */
    vm_revision = (uint64_t)SrOs_UnixMs();
}
