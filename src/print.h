/* Prints messages of the schema for people and for scripts. */
#ifndef SR_PRINT_H
#define SR_PRINT_H

#include <protobuf-c/protobuf-c.h>
#include <stdio.h>

enum SrPrintFormat {
    SR_PRINT_TEXT,
    SR_PRINT_JSON,
};

/* Prints one message, with an end of line. Fields that are unset are left out;
 * bytes are shown as text if they are printable, else as hexadecimal digits.
 */
void SrPrint_Message(FILE *out, enum SrPrintFormat format,
                     const ProtobufCMessage *message);

#endif
