#include "config.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "log.h"
#include "os.h"

/* Timeout of a request for a peer's configuration. */
#define PULL_TIMEOUT_MS 1000

struct SrConfig {
    struct SrKernel *kernel;
    struct SrService service;
    /* Configuration in force, NULL if there is none yet. */
    Sr__Config *current;
    /* True while a request for a peer's configuration is pending. */
    bool pulling;
};

const Sr__Config *
SrConfig_Get(const struct SrConfig *config)
{
    return config->current;
}

uint64_t
SrConfig_Version(const struct SrConfig *config)
{
    return config->current != NULL ? config->current->version : 0;
}

bool
SrConfig_Apply(struct SrConfig *config, const Sr__Config *newer)
{
    if (newer->version <= SrConfig_Version(config)) {
        return false;
    }
    Sr__Config *old = config->current;
    config->current = SrCodec_Clone(newer);
    struct SrBus *bus = SrKernel_Find(config->kernel, SR_BUS_SERVICE);
    if (bus != NULL) {
        SrBus_Heartbeat(bus)->config_version = newer->version;
    }
    SR_INFO("config", "applied", "version=%llu",
            (unsigned long long)newer->version);
    struct SrMessage message = {
        .kind = SR_MESSAGE_CONFIG,
        .u.config = config->current,
    };
    SrKernel_Publish(config->kernel, &message);
    SrMetrics_Set(config->kernel->metrics, "sr_config_version", NULL, NULL,
                  newer->version);
    SrCodec_Free(old);
    return true;
}

Sr__DomainState
SrConfig_DomainState(const struct SrConfig *config, const char *domain)
{
    const Sr__Config *current = config->current;
    for (size_t i = 0; current != NULL && i < current->n_domains; i++) {
        if (strcmp(current->domains[i]->name, domain) == 0) {
            return current->domains[i]->state;
        }
    }
    return SR__DOMAIN_STATE__DOMAIN_IN;
}

const Sr__Account *
SrConfig_FindAccount(const Sr__Config *config, const char *name)
{
    for (size_t i = 0; config != NULL && i < config->n_accounts; i++) {
        if (strcmp(config->accounts[i]->name, name) == 0) {
            return config->accounts[i];
        }
    }
    return NULL;
}

void
SrConfig_Push(struct SrConfig *config)
{
    struct SrBus *bus = SrKernel_Find(config->kernel, SR_BUS_SERVICE);
    SR_LIST_EACH(link, &SrBus_Membership(bus)->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->selected) {
            Sr__Envelope envelope = SR__ENVELOPE__INIT;
            envelope.body_case = SR__ENVELOPE__BODY_CONFIG;
            envelope.config = config->current;
            SrBus_Send(bus, peer->name, &envelope);
        }
    }
    SrBus_SendHeartbeats(bus);
}

static void
on_pulled(void *context, const Sr__Envelope *reply)
{
    struct SrConfig *config = context;
    config->pulling = false;
    if (reply == NULL || reply->body_case != SR__ENVELOPE__BODY_REPLY ||
        reply->reply->status != 200) {
        return;
    }
    Sr__Config *newer =
        SrCodec_Unpack(&sr__config__descriptor, reply->reply->body.data,
                       reply->reply->body.len);
    if (newer != NULL) {
        SrConfig_Apply(config, newer);
        SrCodec_Free(newer);
    }
}

/* Requests the configuration from a peer unless a request is pending. */
static void
pull(struct SrConfig *config, const char *peer)
{
    struct SrBus *bus = SrKernel_Find(config->kernel, SR_BUS_SERVICE);
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    Sr__ApiCall call = SR__API_CALL__INIT;
    call.method = "pull-config";
    envelope.body_case = SR__ENVELOPE__BODY_CALL;
    envelope.call = &call;
    if (!config->pulling &&
        SrBus_Request(bus, peer, &envelope, PULL_TIMEOUT_MS, on_pulled,
                      config) == SR_BUS_OK) {
        config->pulling = true;
    }
}

static void
reply_to_pull(struct SrConfig *config, const Sr__Envelope *envelope)
{
    struct SrBus *bus = SrKernel_Find(config->kernel, SR_BUS_SERVICE);
    if (config->current != NULL) {
        SrCall_Reply(SrCall_Create(bus, envelope), config->current);
    }
}

static void
on_envelope(struct SrConfig *config, const Sr__Envelope *envelope)
{
    switch (envelope->body_case) {
    case SR__ENVELOPE__BODY_HEARTBEAT:
        if (envelope->heartbeat->config_version > SrConfig_Version(config)) {
            pull(config, envelope->from);
        }
        break;
    case SR__ENVELOPE__BODY_CONFIG:
        if (SrConfig_Apply(config, envelope->config)) {
            struct SrBus *bus = SrKernel_Find(config->kernel, SR_BUS_SERVICE);
            SrBus_SendHeartbeats(bus);
        }
        break;
    case SR__ENVELOPE__BODY_CALL:
        if (strcmp(envelope->call->method, "pull-config") == 0) {
            reply_to_pull(config, envelope);
        }
        break;
    default:
        break;
    }
}

static void
handle(void *self, const struct SrMessage *message)
{
    if (message->kind == SR_MESSAGE_ENVELOPE) {
        on_envelope(self, message->u.envelope);
    }
}

struct SrConfig *
SrConfig_Create(struct SrKernel *kernel)
{
    struct SrConfig *config = SrUtil_Calloc(1, sizeof(*config));
    config->kernel = kernel;
    config->service = (struct SrService){
        .name = SR_CONFIG_SERVICE,
        .self = config,
        .handle = handle,
    };
    SrKernel_Register(kernel, &config->service);
    return config;
}

void
SrConfig_Destroy(struct SrConfig *config)
{
    if (config == NULL) {
        return;
    }
    SrKernel_Unregister(&config->service);
    SrCodec_Free(config->current);
    free(config);
}
