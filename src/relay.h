/* Service of a gate that relays unary calls of client accounts to backend
 * servers of its failure domain, or to a gate of another failure domain.
 *
 * A call waits in its account's queue until a backend server has a free slot,
 * for at most the setting queue_ms. Non-repeatable calls are checked against a
 * deduplication window, so that none runs twice. */
#ifndef SR_RELAY_H
#define SR_RELAY_H

#include "bus.h"
#include "call.h"
#include "http_client.h"
#include "kernel.h"

#define SR_RELAY_SERVICE "relay"

struct SrRelay;

/* Registers the service. The kernel must already hold the bus and config
 * services; `http` must outlive the relay. */
struct SrRelay *SrRelay_Create(struct SrKernel *kernel,
                               struct SrHttpClient *http);

/* Drops all calls in progress without calling their `done`. Does nothing if
 * `relay` is NULL. */
void SrRelay_Destroy(struct SrRelay *relay);

/* Called with the response to a relayed call: on success, status 200 and a
 * packed CallReply; otherwise another status and a packed Error. `reply` is
 * valid during the callback only. */
typedef void SrRelay_Done(void *context, const Sr__ApiReply *reply);

/* Relays a call of a client account. `body` is a packed CallRequest of `size`
 * bytes and is not referenced after the return. `done` is called exactly once,
 * possibly before SrRelay_Call returns. */
void SrRelay_Call(struct SrRelay *relay, const char *account, const void *body,
                  size_t size, SrRelay_Done *done, void *context);

/* Returns the number of calls whose `done` has not been called yet. */
size_t SrRelay_InProgress(const struct SrRelay *relay);

#endif
