/* Relays unary calls to backend servers of the own failure domain, or through
 * another domain's gate. */
#ifndef SR_RELAY_H
#define SR_RELAY_H

#include "bus.h"
#include "call.h"
#include "http_client.h"
#include "kernel.h"

#define SR_RELAY_SERVICE "relay"

struct SrRelay;

struct SrRelay *SrRelay_Create(struct SrKernel *kernel,
                               struct SrHttpClient *http);
void SrRelay_Destroy(struct SrRelay *relay);

/* Answer to a relayed call: a packed CallReply, or a failure. */
typedef void SrRelay_Done(void *context, const Sr__ApiReply *reply);

/* Relays a call for an account; `body` is a packed CallRequest and is copied.
 * `done` is called once, at once or later. */
void SrRelay_Call(struct SrRelay *relay, const char *account, const void *body,
                  size_t size, SrRelay_Done *done, void *context);

/* Calls that have not been answered. */
size_t SrRelay_InProgress(const struct SrRelay *relay);

#endif
