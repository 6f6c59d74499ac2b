/* Prints protobuf messages as readable text or as JSON for scripts. */
#ifndef SR_PRINT_H
#define SR_PRINT_H

#include <protobuf-c/protobuf-c.h>
#include <stdio.h>

enum SrPrintFormat {
    /* "name: value" lines; members of a submessage are indented. */
    SR_PRINT_TEXT,
    /* One line. */
    SR_PRINT_JSON,
};

/* Prints one message and a newline. Fields with their default value are
 * omitted. A bytes field is printed as text if all its bytes are printable
 * ASCII characters, else in hexadecimal. */
void SrPrint_Message(FILE *out, enum SrPrintFormat format,
                     const ProtobufCMessage *message);

#endif
