#include "codec.h"

#include <stdlib.h>
#include <string.h>

#include "util.h"

/* Limit on the memory for one decoded message. */
struct MemoryLimit {
    /* Bytes that may still be allocated. */
    size_t remaining;
};

/* Allocates memory for protobuf-c. Returns NULL, which makes protobuf-c fail,
 * if the limit is exceeded. */
static void *
allocate(void *data, size_t size)
{
    struct MemoryLimit *limit = data;
    if (size > limit->remaining) {
        return NULL;
    }
    limit->remaining -= size;
    return malloc(size > 0 ? size : 1);
}

static void
release(void *data, void *memory)
{
    (void)data;
    free(memory);
}

void *
SrCodec_Unpack(const ProtobufCMessageDescriptor *descriptor, const void *data,
               size_t size)
{
    static const uint8_t empty;
    struct MemoryLimit limit = {.remaining = size * SR_CODEC_EXPANSION_MAX +
                                             SR_CODEC_BASE_BYTES};
    ProtobufCAllocator allocator = {
        .alloc = allocate,
        .free = release,
        .allocator_data = &limit,
    };
    if (data == NULL) {
        data = &empty;
    }
    return protobuf_c_message_unpack(descriptor, &allocator, size, data);
}

uint8_t *
SrCodec_Pack(const void *message, size_t *size)
{
    size_t needed = protobuf_c_message_get_packed_size(message);
    uint8_t *data = SrUtil_Calloc(1, needed + 1);
    *size = protobuf_c_message_pack(message, data);
    return data;
}

void *
SrCodec_Clone(const void *message)
{
    const ProtobufCMessage *base = message;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer) uint8_t *data = SrCodec_Pack(base, &size);
    return protobuf_c_message_unpack(base->descriptor, NULL, size, data);
}

void
SrCodec_Free(void *message)
{
    if (message != NULL) {
        protobuf_c_message_free_unpacked(message, NULL);
    }
}
