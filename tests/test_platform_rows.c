/* The adapter to the platform's store, against a server whose rows another
 * writer has given odd keys or large values. Guards against a follower that
 * reads the same page again and again, or never reads the rest of the table.
 */
#include "test_support.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>

#include "follower.h"
#include "http_server.h"
#include "log.h"
#include "os.h"
#include "platform_rows.h"

#define ADDRESS "127.0.0.1:7962"
#define TABLE "servers"
#define LIMIT_MS 8000
#define WAIT_MS 100
/* Time after which no call of the follower is in flight any more: the longest
 * timeout is that of a page, 1.2 s. */
#define CALL_LIMIT_MS 1500
/* Number of rows in a page, so that most keys begin a page. */
#define PAGE_ROWS 2
/* More than the largest response that the adapter accepts, bytes. */
#define LARGE_BYTES (3 * 1024 * 1024)

struct Key {
    /* As the store sends it. */
    const char *text;
    size_t size;
};

#define KEY(text)                                                             \
    {                                                                         \
        text, sizeof(text) - 1                                                \
    }
#define QUARTER_OF_KEY                                                        \
    "\xc3\xa9 %&\r\n#?+\xc3\xa9 %&\r\n#?+\xc3\xa9 %&\r\n#?+\xc3\xa9 "         \
    "%&\r\n#?+\xc3\xa9 %&\r\n#?"

/* Number of keys with a zero character, which come first. */
#define ZERO_KEYS 2

/* In ascending order. */
static const struct Key keys[] = {
    KEY("a\0"),
    KEY("a\0b"),
    KEY("a\r\nX: b"),
    KEY("a b"),
    KEY("a\"b"),
    KEY("a#b"),
    KEY("a#c"),
    KEY("a#d"),
    KEY("a%2"),
    KEY("a%41"),
    KEY("a%zz"),
    KEY("a&b"),
    KEY("a&limit=1"),
    KEY("a&table=op"),
    KEY("a+b"),
    KEY("a+c"),
    KEY("a/../b"),
    KEY("a?b=c"),
    KEY("a\\b"),
    KEY("w1"),
    KEY("w2"),
    KEY(QUARTER_OF_KEY QUARTER_OF_KEY QUARTER_OF_KEY QUARTER_OF_KEY),
};

struct Store {
    struct SrKernel *kernel;
    struct SrHttpServer *server;
    struct SrHttpClient *http;
    struct SrPlatformRows *adapter;
    struct SrRows rows;
    struct SrFollower *follower;
    /* First of the keys that the store has. */
    size_t first_key;
    /* Number of requests for pages, and of watches. */
    unsigned reads;
    unsigned watches;
    /* Number of watches that get more than the adapter accepts. */
    unsigned large_watches;
    unsigned loads;
    /* Rows that the follower has reported. */
    unsigned reported;
    /* Keys w1 and w2 among them. */
    unsigned workers;
};

static int
compare(const char *left, size_t left_size, const char *right,
        size_t right_size)
{
    size_t size = left_size < right_size ? left_size : right_size;
    int order = memcmp(left, right, size);
    return order != 0 ? order
                      : (left_size > right_size) - (left_size < right_size);
}

static void
respond(struct SrHttpRequest *request, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    SrHttpRequest_Respond(request, &(struct SrHttpServerResponse){
                                       .status = 200,
                                       .type = "application/json",
                                       .body = (uint8_t *)text,
                                       .size = strlen(text),
                                   });
}

static json_t *
make_row(const struct Key *key)
{
    json_t *row = json_pack("{s:s,s:s,s:s,s:i}", "table", TABLE, "part", "",
                            "value", "e30=", "row_version", 5);
    json_object_set_new(row, "key",
                        json_stringn_nocheck(key->text, key->size));
    return row;
}

static void
respond_with_page(const struct Store *store, struct SrHttpRequest *request)
{
    const char *from = SrHttpRequest_Query(request, "from");
    json_t *rows = json_array();
    size_t i = store->first_key;
    from = from != NULL ? from : "";
    while (i < SR_LENGTH(keys) &&
           compare(keys[i].text, keys[i].size, from, strlen(from)) < 0) {
        i++;
    }
    for (unsigned n = 0; n < PAGE_ROWS && i < SR_LENGTH(keys); n++) {
        json_array_append_new(rows, make_row(&keys[i++]));
    }
    respond(request,
            json_pack("{s:o,s:i,s:i,s:b}", "rows", rows, "row_version", 5,
                      "now_ms", 1, "has_more", i < SR_LENGTH(keys)));
}

static void
respond_with_large_change(struct SrHttpRequest *request)
{
    char *value = SrUtil_Calloc(1, LARGE_BYTES + 1);
    memset(value, 'A', LARGE_BYTES);
    json_t *row = make_row(&keys[ZERO_KEYS]);
    json_object_set_new(row, "value", json_string(value));
    free(value);
    respond(request, json_pack("{s:[o],s:i,s:i}", "rows", row, "row_version",
                               6, "now_ms", 1));
}

static void
handle(void *context, struct SrHttpRequest *request)
{
    struct Store *store = context;
    const char *table = SrHttpRequest_Query(request, "table");
    assert_string_equal(table, TABLE);
    if (strcmp(SrHttpRequest_Path(request), "/sassafrasrelay/rows-get") == 0) {
        store->reads++;
        respond_with_page(store, request);
    }
    else if (store->watches++ < store->large_watches) {
        respond_with_large_change(request);
    }
    /* Other watches get no response. */
}

static struct SrHttpBody
reject(void *context, enum SrHttpRejection reason)
{
    (void)context;
    (void)reason;
    return (struct SrHttpBody){.type = "text/plain"};
}

static void
on_row(void *context, const struct SrRow *row)
{
    struct Store *store = context;
    store->reported++;
    store->workers += row->key[0] == 'w' ? 1 : 0;
}

static void
on_loaded(void *context)
{
    struct Store *store = context;
    store->loads++;
    if (store->loads > store->large_watches) {
        ev_break(store->kernel->loop, EVBREAK_ALL);
    }
}

static void
on_limit(void *context)
{
    struct Store *store = context;
    ev_break(store->kernel->loop, EVBREAK_ALL);
}

/* Follows the table until it has been loaded once, and once more for each
 * response to a watch that is too large. */
static void
follow(struct Store *store, size_t first_key, unsigned large_watches)
{
    static const char *const partition = "";
    struct SrTimer limit = {.kernel = NULL};
    *store = (struct Store){
        .first_key = first_key,
        .large_watches = large_watches,
    };
    store->kernel = SrKernel_Create(NULL);
    assert_int_equal(SrHttpServer_Create(store->kernel->loop,
                                         &(struct SrHttpServerOptions){
                                             .address = ADDRESS,
                                             .body_max = 1024,
                                             .connections_max = 16,
                                             .read_timeout_ms = LIMIT_MS,
                                             .handle = handle,
                                             .reject = reject,
                                             .context = store,
                                         },
                                         &store->server),
                     SR_HTTP_SERVER_OK);
    store->http = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = store->kernel->loop,
        .connections_kept = 4,
        .shards = 1,
    });
    store->adapter = SrPlatformRows_Create(store->http, ADDRESS);
    store->rows = (struct SrRows){
        .kind = SR_ROWS_PLATFORM,
        .u.platform = store->adapter,
    };
    store->follower = SrFollower_Create(&(struct SrFollowerOptions){
        .kernel = store->kernel,
        .rows = &store->rows,
        .table = TABLE,
        .partitions = &partition,
        .partition_count = 1,
        .wait_ms = WAIT_MS,
        .on_row = on_row,
        .on_loaded = on_loaded,
        .context = store,
    });
    SrTimer_Start(&limit, store->kernel, LIMIT_MS, 0, on_limit, store);
    ev_run(store->kernel->loop, 0);
    SrFollower_Destroy(store->follower);
    /* The call in flight frees its context when it times out. */
    SrTimer_Start(&limit, store->kernel, CALL_LIMIT_MS, 0, on_limit, store);
    ev_run(store->kernel->loop, 0);
    SrHttpClient_Destroy(store->http);
    SrPlatformRows_Destroy(store->adapter);
    SrHttpServer_Destroy(store->server);
    SrKernel_Destroy(store->kernel);
}

static void
check_load(size_t first_key)
{
    struct Store store;
    follow(&store, first_key, 0);
    print_message("%u reads, %u rows, %u loads\n", store.reads, store.reported,
                  store.loads);
    assert_int_equal(store.loads, 1);
    /* Each worker's row is reported at least once, and again if it begins the
     * next page. */
    assert_in_range(store.workers, 2, 4);
    assert_in_range(store.reads, SR_LENGTH(keys) / PAGE_ROWS, SR_LENGTH(keys));
}

/* Keys were put into the path of the next page's request unchanged: a space
 * made the request invalid, and after "&", "#", "%" or "+" the page began at
 * another key. */
static void
pages_that_end_with_odd_keys_are_followed(void **state)
{
    (void)state;
    check_load(ZERO_KEYS);
}

/* A zero character in one key made its whole page unreadable. */
static void
zero_character_hides_no_other_row(void **state)
{
    (void)state;
    check_load(0);
}

/* The changes since the version of the follower are too many for one response:
 * the same watch would fail for good. */
static void
changes_that_are_too_large_are_read_in_pages(void **state)
{
    (void)state;
    struct Store store;
    follow(&store, ZERO_KEYS, 2);
    print_message("%u watches, %u loads\n", store.watches, store.loads);
    assert_int_equal(store.loads, 3);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(pages_that_end_with_odd_keys_are_followed),
        cmocka_unit_test(zero_character_hides_no_other_row),
        cmocka_unit_test(changes_that_are_too_large_are_read_in_pages),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
