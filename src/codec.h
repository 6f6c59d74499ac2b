/* Protobuf messages from outside, decoded within bounds. */
#ifndef SR_CODEC_H
#define SR_CODEC_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/* Memory that a decoded message may take beyond its own size. */
#define SR_CODEC_EXPANSION_MAX 16
#define SR_CODEC_BASE_BYTES (64 * 1024)

/* Decodes a message; NULL if it is malformed or would take more than
 * SR_CODEC_EXPANSION_MAX times its size plus SR_CODEC_BASE_BYTES. The caller
 * frees the message by protobuf_c_message_free_unpacked with no allocator. */
void *SrCodec_Unpack(const ProtobufCMessageDescriptor *descriptor,
                     const void *data, size_t size);

/* Encodes a message into memory that the caller frees. */
uint8_t *SrCodec_Pack(const void *message, size_t *size);

/* A deep copy, freed like a decoded message. */
void *SrCodec_Clone(const void *message);

/* Frees a decoded message; NULL is taken. */
void SrCodec_Free(void *message);

#endif
