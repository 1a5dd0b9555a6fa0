#include "core/message.h"

#include "core/frame_check.h"
#include "core/outcome.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

enum field_kind {
    FIELD_U32,
    FIELD_U64,
    FIELD_TEXT,      /* up to MESSAGE_NAME_BYTES */
    FIELD_LONG_TEXT, /* up to MESSAGE_PATH_BYTES */
    FIELD_PREFIXES,
    FIELD_DATA,
};

struct field {
    enum field_kind kind;
    size_t offset;
};

enum {
    MAX_LAYOUT_FIELDS = 16,
    FRAME_LENGTH_BYTES = 4
};

/* The fields of a message type, in the order in which they are encoded. */
struct layout {
    const char *name;
    size_t count;
    struct field fields[MAX_LAYOUT_FIELDS];
};

#define U32(name)                                                             \
    {                                                                         \
        FIELD_U32, offsetof(struct message, name)                             \
    }
#define U64(name)                                                             \
    {                                                                         \
        FIELD_U64, offsetof(struct message, name)                             \
    }
#define TEXT(name)                                                            \
    {                                                                         \
        FIELD_TEXT, offsetof(struct message, name)                            \
    }
#define LONG_TEXT(name)                                                       \
    {                                                                         \
        FIELD_LONG_TEXT, offsetof(struct message, name)                       \
    }
#define PREFIXES                                                              \
    {                                                                         \
        FIELD_PREFIXES, 0                                                     \
    }
#define DATA                                                                  \
    {                                                                         \
        FIELD_DATA, 0                                                         \
    }
#define ATTEMPT_ID U64(id.incarnation), U64(id.counter), U32(attempt)

static const struct layout layouts[MESSAGE_TYPE_COUNT] = {
    [MESSAGE_HELLO] = {"hello",
                       5,
                       {U32(version), TEXT(instance), U64(incarnation),
                        TEXT(data_centre), U64(generation)}},
    [MESSAGE_RESERVE] = {"reserve",
                         13,
                         {ATTEMPT_ID, U64(generation), TEXT(account),
                          TEXT(pool), U32(work_class), U32(repeatable),
                          U64(prompt_tokens), U64(max_tokens),
                          U64(memory_tokens), U32(budget_ms), PREFIXES}},
    [MESSAGE_WITHDRAW] = {"withdraw", 3, {ATTEMPT_ID}},
    [MESSAGE_OFFER] = {"offer", 4, {ATTEMPT_ID, U64(cached_tokens)}},
    [MESSAGE_REFUSE] = {"refuse",
                        5,
                        {ATTEMPT_ID, U32(reason), U32(retry_after_ms)}},
    [MESSAGE_GRANT] = {"grant",
                       10,
                       {ATTEMPT_ID, U32(repeatable), U32(budget_ms),
                        TEXT(method), LONG_TEXT(path), TEXT(content_type),
                        LONG_TEXT(memory_parts), U64(body_bytes)}},
    [MESSAGE_BODY] = {"body", 5, {ATTEMPT_ID, U64(offset), DATA}},
    [MESSAGE_HEAD] = {"head",
                      5,
                      {ATTEMPT_ID, U32(status), TEXT(content_type)}},
    [MESSAGE_CHUNK] = {"chunk", 5, {ATTEMPT_ID, U64(offset), DATA}},
    [MESSAGE_END] = {"end",
                     8,
                     {ATTEMPT_ID, U32(outcome), U32(reason), U64(offset),
                      U64(checksum), U32(retry_after_ms)}},
    [MESSAGE_CREDIT] = {"credit", 4, {ATTEMPT_ID, U64(offset)}},
    [MESSAGE_CANCEL] = {"cancel", 3, {ATTEMPT_ID}},
    [MESSAGE_RESUME] = {"resume",
                        5,
                        {ATTEMPT_ID, U32(repeatable), U64(offset)}},
    [MESSAGE_ALIVE] = {"alive", 0, {{0}}},
    [MESSAGE_LOAD] = {"load", 1, {U64(load_tokens)}},
    [MESSAGE_CONFIG] = {"config", 2, {U64(generation), DATA}},
    [MESSAGE_PEER_LOAD] = {"peer-load", 1, {DATA}},
    [MESSAGE_PEER_ASK] = {"peer-ask", 1, {U64(stamp_ms)}},
    [MESSAGE_PEER_STATE] = {"peer-state",
                            3,
                            {U64(stamp_ms), U64(revision), U64(age_ms)}},
    [MESSAGE_SNAPSHOT_ASK] = {"snapshot-ask", 2, {U64(stamp_ms), U64(since)}},
    [MESSAGE_SNAPSHOT] = {"snapshot",
                          5,
                          {U64(stamp_ms), U64(revision), U64(age_ms),
                           U64(since), DATA}},
    [MESSAGE_CHANGES_ASK] = {"changes-ask",
                             3,
                             {U64(stamp_ms), U64(since), U64(revision)}},
    [MESSAGE_CHANGES] = {"changes",
                         7,
                         {U64(stamp_ms), U64(revision), U64(age_ms),
                          U64(since), U64(offset), U64(body_bytes), DATA}},
};

const char *
message_type_name(enum message_type type)
{
    if ((unsigned)type >= MESSAGE_TYPE_COUNT || layouts[type].name == NULL) {
        return "unknown";
    }
    return layouts[type].name;
}

bool
request_id_equal(struct request_id a, struct request_id b)
{
    return a.incarnation == b.incarnation && a.counter == b.counter;
}

static int
append_to_buffer(void *data, const char *bytes, size_t count)
{
    g_byte_array_append(data, (const guint8 *)bytes, (guint)count);
    return 0;
}

static void
encode_text(msgpack_packer *packer, const char *text)
{
    size_t length = strlen(text);

    msgpack_pack_str(packer, length);
    msgpack_pack_str_body(packer, text, length);
}

static void
encode_field(msgpack_packer *packer, const struct message *message,
             const struct field *field)
{
    const char *base = (const char *)message + field->offset;
    uint32_t u32;
    uint64_t u64;

    switch (field->kind) {
    case FIELD_U32:
        memcpy(&u32, base, sizeof(u32));
        msgpack_pack_uint32(packer, u32);
        break;
    case FIELD_U64:
        memcpy(&u64, base, sizeof(u64));
        msgpack_pack_uint64(packer, u64);
        break;
    case FIELD_TEXT:
    case FIELD_LONG_TEXT:
        encode_text(packer, base);
        break;
    case FIELD_PREFIXES:
        msgpack_pack_array(packer, message->prefix_count);
        for (uint32_t i = 0; i < message->prefix_count; i++) {
            msgpack_pack_uint64(packer, message->prefixes[i]);
        }
        break;
    case FIELD_DATA:
        msgpack_pack_bin(packer, message->data_bytes);
        msgpack_pack_bin_body(packer, message->data, message->data_bytes);
        break;
    }
}

void
message_encode(const struct message *message, GByteArray *out)
{
    const struct layout *layout = &layouts[message->type];
    const guint8 zero[FRAME_LENGTH_BYTES] = {0};
    guint start = out->len;
    msgpack_packer packer;
    uint32_t length;

    g_byte_array_append(out, zero, sizeof(zero));
    msgpack_packer_init(&packer, out, append_to_buffer);
    msgpack_pack_array(&packer, layout->count + 1);
    msgpack_pack_uint8(&packer, (uint8_t)message->type);
    for (size_t i = 0; i < layout->count; i++) {
        encode_field(&packer, message, &layout->fields[i]);
    }
    length = GUINT32_TO_BE(out->len - start - FRAME_LENGTH_BYTES);
    memcpy(out->data + start, &length, sizeof(length));
}

static bool
decode_text(const msgpack_object *object, char *out, size_t out_bytes)
{
    size_t length;

    if (object->type != MSGPACK_OBJECT_STR) {
        return false;
    }
    length = object->via.str.size;
    /* msgpack may have no pointer for an empty text. */
    if (length == 0) {
        out[0] = '\0';
        return true;
    }
    if (length >= out_bytes ||
        memchr(object->via.str.ptr, '\0', length) != NULL) {
        return false;
    }
    memcpy(out, object->via.str.ptr, length);
    out[length] = '\0';
    return true;
}

static bool
decode_prefixes(const msgpack_object *object, struct message *message)
{
    const msgpack_object_array *array = &object->via.array;

    if (object->type != MSGPACK_OBJECT_ARRAY ||
        array->size > MESSAGE_MAX_PREFIXES) {
        return false;
    }
    for (uint32_t i = 0; i < array->size; i++) {
        if (array->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
        message->prefixes[i] = array->ptr[i].via.u64;
    }
    message->prefix_count = array->size;
    return true;
}

static bool
decode_field(const msgpack_object *object, struct message *message,
             const struct field *field)
{
    char *base = (char *)message + field->offset;
    uint32_t u32;

    switch (field->kind) {
    case FIELD_U32:
        if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
            object->via.u64 > UINT32_MAX) {
            return false;
        }
        u32 = (uint32_t)object->via.u64;
        memcpy(base, &u32, sizeof(u32));
        return true;
    case FIELD_U64:
        if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return false;
        }
        memcpy(base, &object->via.u64, sizeof(uint64_t));
        return true;
    case FIELD_TEXT:
        return decode_text(object, base, MESSAGE_NAME_BYTES);
    case FIELD_LONG_TEXT:
        return decode_text(object, base, MESSAGE_PATH_BYTES);
    case FIELD_PREFIXES:
        return decode_prefixes(object, message);
    case FIELD_DATA:
        if (object->type != MSGPACK_OBJECT_BIN) {
            return false;
        }
        message->data = (const uint8_t *)object->via.bin.ptr;
        message->data_bytes = object->via.bin.size;
        return true;
    }
    return false;
}

static bool
values_in_range(const struct message *message)
{
    return message->work_class < WORK_CLASS_COUNT &&
           message->repeatable <= 1 && message->reason < REASON_COUNT &&
           message->outcome <= OUTCOME_UNKNOWN;
}

static bool
decode_array(const msgpack_object_array *array, struct message *message,
             const char **why)
{
    const struct layout *layout;

    if (array->size == 0 ||
        array->ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        array->ptr[0].via.u64 >= MESSAGE_TYPE_COUNT ||
        layouts[array->ptr[0].via.u64].name == NULL) {
        *why = "unknown message type";
        return false;
    }
    message->type = (enum message_type)array->ptr[0].via.u64;
    layout = &layouts[message->type];
    if (array->size != layout->count + 1) {
        *why = "wrong number of fields";
        return false;
    }
    for (size_t i = 0; i < layout->count; i++) {
        if (!decode_field(&array->ptr[i + 1], message, &layout->fields[i])) {
            *why = "field has the wrong type or size";
            return false;
        }
    }
    if (!values_in_range(message)) {
        *why = "value out of range";
        return false;
    }
    return true;
}

bool
message_decode(const uint8_t *payload, size_t payload_bytes,
               struct message *message, const char **why)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    bool ok = false;

    memset(message, 0, sizeof(*message));
    if (!frame_check(payload, payload_bytes)) {
        *why = "payload is truncated or has an item that messages don't use";
        return false;
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, (const char *)payload, payload_bytes,
                            &offset) != MSGPACK_UNPACK_SUCCESS ||
        offset != payload_bytes ||
        unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
        *why = "payload is not a single msgpack array";
        goto out;
    }
    ok = decode_array(&unpacked.data.via.array, message, why);
out:
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}
