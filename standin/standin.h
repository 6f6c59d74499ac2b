/* Stand-ins for the platform, workers and backend servers, for tests.
 *
 * They implement published protocols only: the role site the platform's JSON
 * interface, the other roles proto/platform.proto. They use none of the
 * internal messages of the system under test. A process runs one role,
 * named on its command line. Each role serves two paths for tests: POST /fault
 * sets faults, GET /record returns a log of what the role has done. */
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

/* Regions of the role site, if messages between them take time. */
#define STANDIN_REGIONS 3

/* Active faults of this process; initially none. The fields have the names
 * that POST /fault takes. */
struct Faults {
    /* Only requests to /fault and /record get a response. */
    bool down;
    /* Delay of each response, ms. */
    int64_t slow_ms;
    /* Number of responses to drop after their requests took effect. */
    unsigned lose;
    /* `lose` applies to paths with this prefix only; empty for all paths. */
    char lose_path[SR_ID_SIZE];
    /* Worker whose tasks all fail; "*" for all workers. */
    char fail_worker[SR_ID_SIZE];
    /* Worker or backend server that sends no responses; "*" for all backend
     * servers. Role site: also "store". */
    char dead[SR_ID_SIZE];
    /* Backend server that rejects requests because it is leaving. */
    char leaving[SR_ID_SIZE];
    /* Number of responses whose body is cut to half of its length. */
    unsigned truncate;
    /* Prefix of the name of a worker's action, or of the first key that a
     * commit writes. The next step that matches empties this field, and its
     * response is withheld until /fault sets `pause` to the empty string. */
    char pause[SR_ID_SIZE];
    /* Number of matching steps to skip before one is withheld. */
    unsigned pause_skip;
    /* Role site: the store rejects all calls. */
    bool refuse;
    /* Role site: time until the store applies a transaction and responds to
     * it, ms. */
    int64_t commit_ms;
    /* Role site: the store drops the history of its changes. */
    bool forget;
    /* Role site: version of the configuration that the operator writes, if it
     * is newer than the store's. */
    unsigned long config;
    /* Role site: worker that restarts and loses its state. */
    char crash[SR_ID_SIZE];
    /* Role site: workers that are cut off together with the leader, as in
     * ",w0,w3,"; empty for none. */
    char cut_workers[4 * SR_ID_SIZE];
    /* Role site: share of the commands that get no response and are executed
     * later, and of those that are executed at once but get no response, in
     * percent. */
    unsigned late_percent;
    unsigned lost_percent;
    /* Role site: seed of the choice of these commands; 0 leaves it as it is.
     */
    unsigned late_seed;
    /* Role site: time for which the worker that restarts is down, ms. */
    int64_t down_ms;
    /* Role site: workers that commands do not reach, as in ",w0,w3,"; empty
     * for none. */
    char isolated[4 * SR_ID_SIZE];
    /* Role site: the isolated workers do not reach the store either. */
    bool isolated_from_store;
    /* Role forward: numbers of the links that carry no data, as in ",3,5,".
     */
    char cut[4 * SR_ID_SIZE];
};

struct Standin {
    struct ev_loop *loop;
    struct Faults faults;
    /* Text of the record, written through `record_file`. */
    char *record;
    size_t record_size;
    FILE *record_file;
    /* The role's handler of its own paths; `port` is the port on which the
     * request came. */
    void (*handle)(struct Standin *standin, struct SrHttpRequest *request,
                   int port);
    /* Called after each request to /fault that was valid; NULL if the role
     * needs no call. */
    void (*on_fault)(struct Standin *standin);
    /* True from a match of `pause` until /fault sets `pause` to the empty
     * string. */
    bool is_paused;
    /* Request whose response is withheld, and the body of that response; NULL
     * if there is none. */
    struct SrHttpRequest *paused_request;
    uint8_t *paused_body;
    size_t paused_size;
    /* Role forward: "listen=target" pairs, comma separated. */
    char *pairs;
    /* Address of the platform stand-in, host:port. */
    char platform[SR_ID_SIZE];
    /* Failure domain of the workers or backend servers. */
    char domain[SR_ID_SIZE];
    /* Prefix of the ids of workers, backend servers and racks. */
    char prefix[SR_ID_SIZE];
    /* Address to listen on; roles with several ports use the ports from `port`
     * on. */
    char host[SR_ID_SIZE];
    int port;
    /* Number of workers or backend servers. */
    unsigned count;
    /* Resources of each worker. */
    unsigned accelerators;
    unsigned cores;
    unsigned memory_mb;
    /* Workers in each rack. */
    unsigned rack_size;
    /* Role site: number of client accounts of a configuration with three
     * queues; 0 for the small configuration. */
    unsigned accounts;
    /* Role site: time that a message between two regions takes, ms; 0 if there
     * is one region. */
    int64_t region_ms;
    /* Concurrent requests of each backend server. */
    unsigned slots;
    /* Time that a backend server takes for a request, ms. */
    unsigned service_ms;
};

/* Returns the time of the machine's monotonic clock, ms. */
int64_t Standin_Now(void);

/* Adds a line to the record: the time of Standin_Now, then the formatted
 * text. */
void Standin_Record(struct Standin *standin, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Compares the step with the fault `pause`. Returns true if the step matches;
 * the response of the next Standin_Reply is then withheld. */
bool Standin_MatchPause(struct Standin *standin, const char *step);

/* Sends a protobuf message as the response with status 200. Withholds the
 * response if the fault `pause` has matched, else applies the faults of
 * Standin_Respond. */
void Standin_Reply(struct Standin *standin, struct SrHttpRequest *request,
                   const void *message);

/* Sends a response with that status and body, subject to the faults `lose`,
 * `truncate` and `slow_ms`. The body is copied. `header` is the name of one
 * more header, or NULL; it and `value` are not copied and must stay valid. */
void Standin_Respond(struct Standin *standin, struct SrHttpRequest *request,
                     unsigned status, const void *body, size_t size,
                     const char *header, const char *value);

/* Registers VMs at the platform stand-in; blocks for 5 s at most. Returns
 * false if the platform did not confirm. */
bool Standin_Register(struct Standin *standin, SrPlatform__Vm **vms,
                      size_t count);

/* The roles. Each function sets up the role and its `handle`. */
void Platform_Start(struct Standin *standin);
void Workers_Start(struct Standin *standin);
void Backend_Start(struct Standin *standin);
void Forward_Start(struct Standin *standin);
/* In platform/standin/: the platform's store and workers. */
void Site_Start(struct Standin *standin);

#endif
