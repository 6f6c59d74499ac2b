/* Encoding of protobuf messages, and decoding of untrusted messages with a
 * bound on memory. */
#ifndef SR_CODEC_H
#define SR_CODEC_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/* A decoded message may take up to SR_CODEC_EXPANSION_MAX times its encoded
 * size plus SR_CODEC_BASE_BYTES. A task of a job's progress with default
 * values takes 2 bytes encoded and some 60 times as much decoded. */
#define SR_CODEC_EXPANSION_MAX 96
#define SR_CODEC_BASE_BYTES (64 * 1024)

/* Decodes a message. Returns NULL if it is malformed or would take more memory
 * than the limit above. `data` may be NULL if `size` is 0. The caller frees
 * the message by SrCodec_Free. */
void *SrCodec_Unpack(const ProtobufCMessageDescriptor *descriptor,
                     const void *data, size_t size);

/* Encodes a protobuf-c message and sets `size` to the encoded size, bytes. The
 * caller frees the result by free(). */
uint8_t *SrCodec_Pack(const void *message, size_t *size);

/* Returns a deep copy of a message. The caller frees it by SrCodec_Free. */
void *SrCodec_Clone(const void *message);

/* Frees a message returned by SrCodec_Unpack or SrCodec_Clone. NULL is
 * allowed. */
void SrCodec_Free(void *message);

#endif
