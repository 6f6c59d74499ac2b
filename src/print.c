#include "print.h"

#include <ctype.h>
#include <inttypes.h>
#include <string.h>

#include "util.h"

struct Printer {
    FILE *out;
    enum SrPrintFormat format;
};

static void print_message(const struct Printer *printer,
                          const ProtobufCMessage *message, int depth);

/* Control characters are printed as \uXXXX in both formats. */
static void
print_string(const struct Printer *printer, const char *text, size_t size)
{
    if (printer->format == SR_PRINT_JSON) {
        fputc('"', printer->out);
    }
    for (size_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)text[i];
        if (printer->format == SR_PRINT_JSON && (c == '"' || c == '\\')) {
            fprintf(printer->out, "\\%c", c);
        }
        else if (c < ' ' || c == 127) {
            fprintf(printer->out, "\\u%04x", c);
        }
        else {
            fputc(c, printer->out);
        }
    }
    if (printer->format == SR_PRINT_JSON) {
        fputc('"', printer->out);
    }
}

static void
print_bytes(const struct Printer *printer, const ProtobufCBinaryData *bytes)
{
    bool printable = true;
    for (size_t i = 0; i < bytes->len; i++) {
        printable = printable && isprint(bytes->data[i]);
    }
    if (printable) {
        print_string(printer, (const char *)bytes->data, bytes->len);
        return;
    }
    const char *quote = printer->format == SR_PRINT_JSON ? "\"" : "";
    fputs(quote, printer->out);
    for (size_t i = 0; i < bytes->len; i++) {
        fprintf(printer->out, "%02x", bytes->data[i]);
    }
    fputs(quote, printer->out);
}

static void
print_enum(const struct Printer *printer,
           const ProtobufCFieldDescriptor *field, int value)
{
    const ProtobufCEnumValue *known =
        protobuf_c_enum_descriptor_get_value(field->descriptor, value);
    const char *name = known != NULL ? known->name : "?";
    print_string(printer, name, strlen(name));
}

static void
print_value(const struct Printer *printer,
            const ProtobufCFieldDescriptor *field, const void *value,
            int depth)
{
    switch (field->type) {
    case PROTOBUF_C_TYPE_UINT32:
        fprintf(printer->out, "%" PRIu32, *(const uint32_t *)value);
        break;
    case PROTOBUF_C_TYPE_UINT64:
        fprintf(printer->out, "%" PRIu64, *(const uint64_t *)value);
        break;
    case PROTOBUF_C_TYPE_BOOL:
        fputs(*(const protobuf_c_boolean *)value ? "true" : "false",
              printer->out);
        break;
    case PROTOBUF_C_TYPE_ENUM:
        print_enum(printer, field, *(const int *)value);
        break;
    case PROTOBUF_C_TYPE_STRING: {
        const char *text = *(const char *const *)value;
        print_string(printer, text, strlen(text));
        break;
    }
    case PROTOBUF_C_TYPE_BYTES:
        print_bytes(printer, value);
        break;
    case PROTOBUF_C_TYPE_MESSAGE:
        print_message(printer, *(const ProtobufCMessage *const *)value,
                      depth + 1);
        break;
    default:
        fputs("null", printer->out);
        break;
    }
}

/* Returns the size of an element of a repeated field. */
static size_t
element_size(const ProtobufCFieldDescriptor *field)
{
    switch (field->type) {
    case PROTOBUF_C_TYPE_UINT64:
        return sizeof(uint64_t);
    case PROTOBUF_C_TYPE_STRING:
    case PROTOBUF_C_TYPE_MESSAGE:
        return sizeof(void *);
    case PROTOBUF_C_TYPE_BYTES:
        return sizeof(ProtobufCBinaryData);
    default:
        return sizeof(uint32_t);
    }
}

/* Returns true if the field has its default value, is empty, or is not the
 * member that its oneof holds. `base` is the message. */
static bool
is_default(const ProtobufCFieldDescriptor *field, const char *base)
{
    const void *value = base + field->offset;
    bool in_oneof = (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0;
    if (in_oneof) {
        return *(const uint32_t *)(base + field->quantifier_offset) !=
               field->id;
    }
    if (field->label == PROTOBUF_C_LABEL_REPEATED) {
        return *(const size_t *)(base + field->quantifier_offset) == 0;
    }
    switch (field->type) {
    case PROTOBUF_C_TYPE_STRING:
        return (*(const char *const *)value)[0] == '\0';
    case PROTOBUF_C_TYPE_MESSAGE:
        return *(const void *const *)value == NULL;
    case PROTOBUF_C_TYPE_BYTES:
        return ((const ProtobufCBinaryData *)value)->len == 0;
    case PROTOBUF_C_TYPE_UINT64:
        return *(const uint64_t *)value == 0;
    default:
        return *(const uint32_t *)value == 0;
    }
}

static void
print_list(const struct Printer *printer,
           const ProtobufCFieldDescriptor *field, const char *base, int depth)
{
    bool json = printer->format == SR_PRINT_JSON;
    size_t count = *(const size_t *)(base + field->quantifier_offset);
    const char *values = *(const char *const *)(base + field->offset);
    if (json) {
        fputc('[', printer->out);
    }
    for (size_t i = 0; i < count; i++) {
        if (i > 0) {
            fputs(json ? "," : " ", printer->out);
        }
        print_value(printer, field, values + i * element_size(field), depth);
    }
    if (json) {
        fputc(']', printer->out);
    }
}

static void
print_name(const struct Printer *printer, const char *name, bool first,
           int depth)
{
    if (printer->format == SR_PRINT_JSON) {
        fprintf(printer->out, "%s\"%s\":", first ? "" : ",", name);
        return;
    }
    if (depth > 0 || !first) {
        fprintf(printer->out, "\n%*s", depth * 2, "");
    }
    fprintf(printer->out, "%s: ", name);
}

static void
print_message(const struct Printer *printer, const ProtobufCMessage *message,
              int depth)
{
    const ProtobufCMessageDescriptor *type = message->descriptor;
    const char *base = (const char *)message;
    bool first = true;
    if (printer->format == SR_PRINT_JSON) {
        fputc('{', printer->out);
    }
    for (unsigned i = 0; i < type->n_fields; i++) {
        const ProtobufCFieldDescriptor *field = &type->fields[i];
        if (is_default(field, base)) {
            continue;
        }
        print_name(printer, field->name, first, depth);
        first = false;
        if (field->label == PROTOBUF_C_LABEL_REPEATED) {
            print_list(printer, field, base, depth);
        }
        else {
            print_value(printer, field, base + field->offset, depth);
        }
    }
    if (printer->format == SR_PRINT_JSON) {
        fputc('}', printer->out);
    }
}

void
SrPrint_Message(FILE *out, enum SrPrintFormat format,
                const ProtobufCMessage *message)
{
    struct Printer printer = {.out = out, .format = format};
    print_message(&printer, message, 0);
    fputc('\n', out);
}
