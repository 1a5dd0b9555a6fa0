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
    GByteArray *bytes; /* from offset confirmed_bytes on */
    uint64_t confirmed_bytes;
    XXH64_state_t *checksum;
    bool ended;
    enum outcome outcome;
    enum reason reason;
    uint32_t retry_after_ms;
};

struct response_buffer *
response_buffer_create(void)
{
    struct response_buffer *answer = g_new0(struct response_buffer, 1);

    answer->bytes = g_byte_array_new();
    answer->checksum = XXH64_createState();
    XXH64_reset(answer->checksum, 0);
    return answer;
}

void
response_buffer_destroy(struct response_buffer *answer)
{
    if (answer == NULL) {
        return;
    }
    g_byte_array_unref(answer->bytes);
    XXH64_freeState(answer->checksum);
    g_free(answer);
}

void
response_buffer_set_head(struct response_buffer *answer, uint32_t status,
                         const char *content_type)
{
    answer->has_head = true;
    answer->status = status;
    g_strlcpy(answer->content_type, content_type,
              sizeof(answer->content_type));
}

void
response_buffer_append(struct response_buffer *answer, const uint8_t *bytes,
                       size_t count)
{
    g_assert(!answer->ended);
    XXH64_update(answer->checksum, bytes, count);
    g_byte_array_append(answer->bytes, bytes, (guint)count);
}

void
response_buffer_end(struct response_buffer *answer, enum outcome outcome,
                    enum reason reason, uint32_t retry_after_ms)
{
    g_assert(!answer->ended);
    answer->ended = true;
    answer->outcome = outcome;
    answer->reason = reason;
    answer->retry_after_ms = retry_after_ms;
}

uint64_t
response_buffer_produced_bytes(const struct response_buffer *answer)
{
    return answer->confirmed_bytes + answer->bytes->len;
}

void
response_buffer_confirm(struct response_buffer *answer, uint64_t offset)
{
    if (offset <= answer->confirmed_bytes ||
        offset > response_buffer_produced_bytes(answer)) {
        return;
    }
    g_byte_array_remove_range(answer->bytes, 0,
                              (guint)(offset - answer->confirmed_bytes));
    answer->confirmed_bytes = offset;
}

void
response_buffer_head_message(const struct response_buffer *answer,
                             struct message *out)
{
    out->type = MESSAGE_HEAD;
    out->status = answer->status;
    g_strlcpy(out->content_type, answer->content_type,
              sizeof(out->content_type));
}

void
response_buffer_end_message(const struct response_buffer *answer,
                            struct message *out)
{
    out->type = MESSAGE_END;
    out->outcome = answer->outcome;
    out->reason = answer->reason;
    out->retry_after_ms = answer->retry_after_ms;
    out->offset = response_buffer_produced_bytes(answer);
    out->checksum = XXH64_digest(answer->checksum);
}

static void
replay_bytes(const struct response_buffer *answer, uint64_t offset,
             void (*send)(void *context, struct message *message),
             void *context)
{
    while (offset < response_buffer_produced_bytes(answer)) {
        struct message chunk = {.type = MESSAGE_CHUNK, .offset = offset};
        size_t start = (size_t)(offset - answer->confirmed_bytes);

        chunk.data = answer->bytes->data + start;
        chunk.data_bytes =
            MIN((size_t)CHUNK_BYTES, answer->bytes->len - start);
        send(context, &chunk);
        offset += chunk.data_bytes;
    }
}

bool
response_buffer_replay(const struct response_buffer *answer, uint64_t offset,
                       void (*send)(void *context, struct message *message),
                       void *context)
{
    if (offset < answer->confirmed_bytes ||
        offset > response_buffer_produced_bytes(answer)) {
        return false;
    }
    if (answer->has_head) {
        struct message head = {0};

        response_buffer_head_message(answer, &head);
        send(context, &head);
    }
    replay_bytes(answer, offset, send, context);
    if (answer->ended) {
        struct message end = {0};

        response_buffer_end_message(answer, &end);
        send(context, &end);
    }
    return true;
}
