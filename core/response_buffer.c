#include "core/response_buffer.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum {
    CHUNK_BYTES = 64 * 1024
};

struct response_buffer {
    bool has_head;
    uint32_t status;
    char content_type[MESSAGE_NAME_BYTES];
    GByteArray *bytes; /* from offset consumed_bytes on */
    uint64_t consumed_bytes;
    XXH64_state_t *checksum;
    bool ended;
    enum outcome outcome;
    enum reason reason;
    uint32_t retry_after_ms;
    bool discarded; /* the body, since the response has failed */
};

struct response_buffer *
response_buffer_create(void)
{
    struct response_buffer *buffer = g_new0(struct response_buffer, 1);

    buffer->bytes = g_byte_array_new();
    buffer->checksum = XXH64_createState();
    XXH64_reset(buffer->checksum, 0);
    return buffer;
}

void
response_buffer_destroy(struct response_buffer *buffer)
{
    if (buffer == NULL) {
        return;
    }
    g_byte_array_unref(buffer->bytes);
    XXH64_freeState(buffer->checksum);
    g_free(buffer);
}

void
response_buffer_set_head(struct response_buffer *buffer, uint32_t status,
                         const char *content_type)
{
    buffer->has_head = true;
    buffer->status = status;
    g_strlcpy(buffer->content_type, content_type,
              sizeof(buffer->content_type));
}

void
response_buffer_append(struct response_buffer *buffer, const uint8_t *bytes,
                       size_t count)
{
    g_assert(!buffer->ended);
    XXH64_update(buffer->checksum, bytes, count);
    g_byte_array_append(buffer->bytes, bytes, (guint)count);
}

void
response_buffer_end(struct response_buffer *buffer, enum outcome outcome,
                    enum reason reason, uint32_t retry_after_ms)
{
    g_assert(!buffer->ended);
    buffer->ended = true;
    buffer->outcome = outcome;
    buffer->reason = reason;
    buffer->retry_after_ms = retry_after_ms;
}

void
response_buffer_discard(struct response_buffer *buffer)
{
    g_assert(buffer->ended && buffer->reason != REASON_NONE);
    buffer->consumed_bytes = response_buffer_produced_bytes(buffer);
    g_byte_array_unref(buffer->bytes);
    buffer->bytes = g_byte_array_new();
    buffer->discarded = true;
}

uint64_t
response_buffer_produced_bytes(const struct response_buffer *buffer)
{
    return buffer->consumed_bytes + buffer->bytes->len;
}

void
response_buffer_consume(struct response_buffer *buffer, uint64_t offset)
{
    if (offset <= buffer->consumed_bytes ||
        offset > response_buffer_produced_bytes(buffer)) {
        return;
    }
    g_byte_array_remove_range(buffer->bytes, 0,
                              (guint)(offset - buffer->consumed_bytes));
    buffer->consumed_bytes = offset;
}

void
response_buffer_head_message(const struct response_buffer *buffer,
                             struct message *out)
{
    out->type = MESSAGE_HEAD;
    out->status = buffer->status;
    g_strlcpy(out->content_type, buffer->content_type,
              sizeof(out->content_type));
}

void
response_buffer_end_message(const struct response_buffer *buffer,
                            struct message *out)
{
    out->type = MESSAGE_END;
    out->outcome = buffer->outcome;
    out->reason = buffer->reason;
    out->retry_after_ms = buffer->retry_after_ms;
    out->offset = response_buffer_produced_bytes(buffer);
    out->checksum = XXH64_digest(buffer->checksum);
}

static void
replay_bytes(const struct response_buffer *buffer, uint64_t offset,
             void (*send)(void *context, struct message *message),
             void *context)
{
    while (offset < response_buffer_produced_bytes(buffer)) {
        struct message chunk = {.type = MESSAGE_CHUNK, .offset = offset};
        size_t start = (size_t)(offset - buffer->consumed_bytes);

        chunk.data = buffer->bytes->data + start;
        chunk.data_bytes =
            MIN((size_t)CHUNK_BYTES, buffer->bytes->len - start);
        send(context, &chunk);
        offset += chunk.data_bytes;
    }
}

static void
replay_end(const struct response_buffer *buffer,
           void (*send)(void *context, struct message *message), void *context)
{
    struct message end = {0};

    response_buffer_end_message(buffer, &end);
    send(context, &end);
}

bool
response_buffer_replay(const struct response_buffer *buffer, uint64_t offset,
                       void (*send)(void *context, struct message *message),
                       void *context)
{
    if (buffer->discarded) {
        replay_end(buffer, send, context);
        return true;
    }
    if (offset < buffer->consumed_bytes ||
        offset > response_buffer_produced_bytes(buffer)) {
        return false;
    }
    if (buffer->has_head) {
        struct message head = {0};

        response_buffer_head_message(buffer, &head);
        send(context, &head);
    }
    replay_bytes(buffer, offset, send, context);
    if (buffer->ended) {
        replay_end(buffer, send, context);
    }
    return true;
}
