#include "core/answer.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum {
    CHUNK_BYTES = 64 * 1024
};

struct answer {
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

struct answer *
answer_create(void)
{
    struct answer *answer = g_new0(struct answer, 1);

    answer->bytes = g_byte_array_new();
    answer->checksum = XXH64_createState();
    XXH64_reset(answer->checksum, 0);
    return answer;
}

void
answer_destroy(struct answer *answer)
{
    if (answer == NULL) {
        return;
    }
    g_byte_array_unref(answer->bytes);
    XXH64_freeState(answer->checksum);
    g_free(answer);
}

void
answer_set_head(struct answer *answer, uint32_t status,
                const char *content_type)
{
    answer->has_head = true;
    answer->status = status;
    g_strlcpy(answer->content_type, content_type,
              sizeof(answer->content_type));
}

void
answer_append(struct answer *answer, const uint8_t *bytes, size_t count)
{
    g_assert(!answer->ended);
    XXH64_update(answer->checksum, bytes, count);
    g_byte_array_append(answer->bytes, bytes, (guint)count);
}

void
answer_end(struct answer *answer, enum outcome outcome, enum reason reason,
           uint32_t retry_after_ms)
{
    g_assert(!answer->ended);
    answer->ended = true;
    answer->outcome = outcome;
    answer->reason = reason;
    answer->retry_after_ms = retry_after_ms;
}

uint64_t
answer_produced_bytes(const struct answer *answer)
{
    return answer->confirmed_bytes + answer->bytes->len;
}

void
answer_confirm(struct answer *answer, uint64_t offset)
{
    if (offset <= answer->confirmed_bytes ||
        offset > answer_produced_bytes(answer)) {
        return;
    }
    g_byte_array_remove_range(answer->bytes, 0,
                              (guint)(offset - answer->confirmed_bytes));
    answer->confirmed_bytes = offset;
}

void
answer_head_message(const struct answer *answer, struct message *out)
{
    out->type = MESSAGE_HEAD;
    out->status = answer->status;
    g_strlcpy(out->content_type, answer->content_type,
              sizeof(out->content_type));
}

void
answer_end_message(const struct answer *answer, struct message *out)
{
    out->type = MESSAGE_END;
    out->outcome = answer->outcome;
    out->reason = answer->reason;
    out->retry_after_ms = answer->retry_after_ms;
    out->offset = answer_produced_bytes(answer);
    out->checksum = XXH64_digest(answer->checksum);
}

static void
replay_bytes(const struct answer *answer, uint64_t offset,
             void (*send)(void *context, struct message *message),
             void *context)
{
    while (offset < answer_produced_bytes(answer)) {
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
answer_replay(const struct answer *answer, uint64_t offset,
              void (*send)(void *context, struct message *message),
              void *context)
{
    if (offset < answer->confirmed_bytes ||
        offset > answer_produced_bytes(answer)) {
        return false;
    }
    if (answer->has_head) {
        struct message head = {0};

        answer_head_message(answer, &head);
        send(context, &head);
    }
    replay_bytes(answer, offset, send, context);
    if (answer->ended) {
        struct message end = {0};

        answer_end_message(answer, &end);
        send(context, &end);
    }
    return true;
}
