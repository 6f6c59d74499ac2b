/* Small stand-ins for the platform, workers and backend servers, for tests.
 *
 * They know the published protocol (proto/platform.proto) and nothing of the
 * system under test. POST /fault sets faults, GET /record tells what ran. */
#ifndef STANDIN_H
#define STANDIN_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "http_server.h"
#include "list.h"
#include "platform.pb-c.h"
#include "util.h"

/* Faults in force in this process; all off at first. */
struct Faults {
    /* Requests get no answer at all. */
    bool down;
    /* Answers are late by this, ms. */
    int64_t slow_ms;
    /* Number of answers to lose after the request took effect. */
    unsigned lose;
    /* Only paths that begin so are touched by `lose`; empty for all. */
    char lose_path[SR_ID_SIZE];
    /* Worker whose tasks all fail; "*" for every one. */
    char fail_worker[SR_ID_SIZE];
    /* Worker or backend server that answers nothing. */
    char dead[SR_ID_SIZE];
    /* Backend server that is leaving. */
    char leaving[SR_ID_SIZE];
    /* Number of answers to cut short. */
    unsigned truncate;
    /* Step whose next answer is withheld until `pause` is set anew: the name
     * of a worker's action, or the beginning of a commit's first key. */
    char pause[SR_ID_SIZE];
    /* Matching steps to let pass first. */
    unsigned pause_skip;
    /* With role site: the store turns calls away, drops its history, has a
     * configuration of this version; a worker starts again. */
    bool refuse;
    bool forget;
    unsigned long config;
    char crash[SR_ID_SIZE];
    /* Links that carry nothing: their numbers, as in ",3,5,". */
    char cut[4 * SR_ID_SIZE];
};

struct Standin {
    struct ev_loop *loop;
    struct Faults faults;
    /* Lines of the record. */
    char *record;
    size_t record_size;
    FILE *record_file;
    /* Role's handler of its own paths. */
    void (*handle)(struct Standin *standin, struct SrHttpRequest *request,
                   int port);
    void (*on_fault)(struct Standin *standin);
    /* Request whose answer is withheld, and that answer. */
    bool is_paused;
    struct SrHttpRequest *paused_request;
    uint8_t *paused_body;
    size_t paused_size;
    /* With role forward: "listen=target" pairs, comma separated. */
    char *pairs;
    char platform[SR_ID_SIZE];
    char domain[SR_ID_SIZE];
    char prefix[SR_ID_SIZE];
    char host[SR_ID_SIZE];
    int port;
    unsigned count;
    unsigned accelerators;
    unsigned cores;
    unsigned memory_mb;
    unsigned rack_size;
    unsigned slots;
    unsigned service_ms;
};

/* Milliseconds on the machine's monotonic clock. */
int64_t Standin_Now(void);

/* Adds a line to the record: the time, then the formatted text. */
void Standin_Record(struct Standin *standin, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* True if the step is the one whose answer is to be withheld; the next
 * Standin_Reply is then withheld. */
bool Standin_MatchPause(struct Standin *standin, const char *step);

/* Answers with a message, subject to the faults. */
void Standin_Reply(struct Standin *standin, struct SrHttpRequest *request,
                   const void *message);

/* Answers with raw bytes, a status and one header, subject to the faults. */
void Standin_ReplyRaw(struct Standin *standin, struct SrHttpRequest *request,
                      unsigned status, const void *body, size_t size,
                      const char *header, const char *value);

/* Tells the platform stand-in of VMs. */
bool Standin_Register(struct Standin *standin, SrPlatform__Vm **vms,
                      size_t count);

/* The roles: set up, and then serve through `handle`. */
void Table_Start(struct Standin *standin);
void Workers_Start(struct Standin *standin);
void Backend_Start(struct Standin *standin);
void Forward_Start(struct Standin *standin);
/* In platform/standin/: the users' store and workers. */
void Site_Start(struct Standin *standin);

#endif
