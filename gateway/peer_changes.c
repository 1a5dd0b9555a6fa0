#include "gateway/peer_changes.h"

#include <glib.h>

#include "core/message.h"
#include "core/store_revision.h"
#include "gateway/directory.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/store_items.h"

#define LOG_PART "peers"

enum {
    /* 26 ms on a link of 20 Mbit/s. */
    PART_BYTES = 64 * 1024,
    MAX_REPLY_BYTES = 64 * 1024 * 1024,
    /* Of a message, for everything but its data. */
    FRAME_MARGIN_BYTES = 1024,
};

struct peer_changes {
    uint64_t stamp_ms; /* of the request that is replied to */
    uint64_t body_bytes;
    GByteArray *received;
};

void
peer_changes_ask(struct link *link, const struct directory *directory,
                 uint64_t features)
{
    bool parts = (features & MESSAGE_PEER_CHANGES) != 0;
    struct message message = {.type = parts ? MESSAGE_CHANGES_ASK
                                            : MESSAGE_SNAPSHOT_ASK,
                              .stamp_ms = loop_clock_ms(),
                              .since = directory_ask_revision(directory),
                              .revision = directory_config_base(directory)};

    link_send(link, &message);
}

static void
send_parts(struct link *link, struct message *message, const GByteArray *data)
{
    message->type = MESSAGE_CHANGES;
    message->body_bytes = data->len;
    do {
        size_t left = data->len - (size_t)message->offset;

        message->data = data->data + message->offset;
        message->data_bytes = MIN(left, PART_BYTES);
        link_send(link, message);
        message->offset += message->data_bytes;
    } while (message->offset < data->len);
}

void
peer_changes_reply(struct link *link, const struct directory *directory,
                   const struct message *request)
{
    bool parts = request->type == MESSAGE_CHANGES_ASK;
    uint64_t since = directory_since(directory, request->since);
    struct store_items *items =
        directory_items_since(directory, since, parts ? request->revision : 0);
    GByteArray *data = g_byte_array_new();
    struct message message = {
        .type = MESSAGE_SNAPSHOT,
        .stamp_ms = request->stamp_ms,
        .revision = items->revision,
        .since = since,
        .age_ms = directory_shared_age_ms(directory, loop_clock_ms())};

    store_items_encode(items, data);
    if (parts) {
        send_parts(link, &message, data);
    }
    else if (data->len + FRAME_MARGIN_BYTES <= LINK_MAX_FRAME_BYTES) {
        message.data = data->data;
        message.data_bytes = data->len;
        link_send(link, &message);
    }
    else {
        LOG_INFO("a gateway of an earlier build has to ask the store itself",
                 "bytes=%u since=%s", data->len,
                 store_revision_text(since).text);
    }
    g_byte_array_unref(data);
    store_items_destroy(items);
}

struct peer_changes *
peer_changes_create(void)
{
    struct peer_changes *changes = g_new0(struct peer_changes, 1);

    changes->received = g_byte_array_new();
    return changes;
}

void
peer_changes_destroy(struct peer_changes *changes)
{
    if (changes != NULL) {
        g_byte_array_unref(changes->received);
        g_free(changes);
    }
}

static struct store_items *
decode_items(const struct message *message, const uint8_t *bytes, size_t count,
             bool *malformed)
{
    struct store_items *items = store_items_decode(bytes, count);

    *malformed = items == NULL;
    if (items != NULL) {
        items->revision = message->revision;
    }
    return items;
}

struct store_items *
peer_changes_take(struct peer_changes *changes, const struct message *message,
                  bool *malformed)
{
    struct store_items *items;

    *malformed = false;
    if (message->type == MESSAGE_SNAPSHOT) {
        return decode_items(message, message->data, message->data_bytes,
                            malformed);
    }
    if (message->offset == 0) {
        g_byte_array_set_size(changes->received, 0);
        changes->stamp_ms = message->stamp_ms;
        changes->body_bytes = message->body_bytes;
    }
    if (message->stamp_ms != changes->stamp_ms ||
        message->body_bytes != changes->body_bytes ||
        message->offset != changes->received->len ||
        message->body_bytes > MAX_REPLY_BYTES ||
        message->data_bytes > message->body_bytes - message->offset) {
        g_byte_array_set_size(changes->received, 0);
        return NULL;
    }
    g_byte_array_append(changes->received, message->data,
                        (guint)message->data_bytes);
    if (changes->received->len < changes->body_bytes) {
        return NULL;
    }
    items = decode_items(message, changes->received->data,
                         changes->received->len, malformed);
    /* Frees the memory of a long reply. */
    g_byte_array_unref(changes->received);
    changes->received = g_byte_array_new();
    return items;
}
