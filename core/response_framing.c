#include "core/response_framing.h"

#include <glib.h>

#include "core/bytes.h"

enum {
    STATUS_CLASS = 100,
    STATUS_CLASS_INFORMATIONAL = 1,
    STATUS_NO_CONTENT = 204,
    STATUS_RESET_CONTENT = 205,
    STATUS_NOT_MODIFIED = 304,
};

bool
response_framing_has_body(bool head_only, uint32_t status)
{
    return !head_only && status / STATUS_CLASS != STATUS_CLASS_INFORMATIONAL &&
           status != STATUS_NO_CONTENT && status != STATUS_NOT_MODIFIED;
}

static void
add_length(GByteArray *head, uint64_t length_bytes)
{
    char *line = g_strdup_printf("Content-Length: %" G_GUINT64_FORMAT "\r\n",
                                 length_bytes);

    bytes_add_text(head, line);
    g_free(line);
}

/* The header line says what a response with a body would have had. */
static void
begin_without_body(const struct response_framing_facts *facts,
                   GByteArray *head)
{
    bool may_name_length =
        facts->status / STATUS_CLASS != STATUS_CLASS_INFORMATIONAL &&
        facts->status != STATUS_NO_CONTENT;

    if (may_name_length && facts->has_length) {
        add_length(head, facts->length_bytes);
    }
    else if (may_name_length && facts->is_stream) {
        bytes_add_text(head, "Transfer-Encoding: chunked\r\n");
    }
}

void
response_framing_begin(struct response_framing *framing,
                       const struct response_framing_facts *facts,
                       GByteArray *head)
{
    *framing = (struct response_framing){.kind = RESPONSE_FRAMING_LENGTH};
    if (!response_framing_has_body(facts->head_only, facts->status)) {
        framing->kind = RESPONSE_FRAMING_NONE;
        begin_without_body(facts, head);
        return;
    }
    /* Receivers differ in whether a 205 may have a body, so it gets none. */
    if (facts->status == STATUS_RESET_CONTENT) {
        add_length(head, 0);
        return;
    }
    if (facts->is_stream) {
        framing->kind = RESPONSE_FRAMING_CHUNKED;
        bytes_add_text(head, "Transfer-Encoding: chunked\r\n");
        return;
    }
    framing->left_bytes = facts->body_bytes;
    add_length(head, facts->body_bytes);
}

static void
add_chunk(const void *bytes, size_t count, GByteArray *out)
{
    char size[24];

    g_snprintf(size, sizeof(size), "%zx\r\n", count);
    bytes_add_text(out, size);
    g_byte_array_append(out, bytes, (guint)count);
    bytes_add_text(out, "\r\n");
}

void
response_framing_add(struct response_framing *framing, const void *bytes,
                     size_t count, GByteArray *out)
{
    if (framing->ended || count == 0) {
        return;
    }
    switch (framing->kind) {
    case RESPONSE_FRAMING_NONE:
        return;
    case RESPONSE_FRAMING_LENGTH:
        count = (size_t)MIN(count, framing->left_bytes);
        framing->left_bytes -= count;
        g_byte_array_append(out, bytes, (guint)count);
        return;
    case RESPONSE_FRAMING_CHUNKED:
        add_chunk(bytes, count, out);
        return;
    }
}

bool
response_framing_end(struct response_framing *framing, bool complete,
                     GByteArray *out)
{
    bool was_ended = framing->ended;

    framing->ended = true;
    switch (framing->kind) {
    case RESPONSE_FRAMING_NONE:
        return true;
    case RESPONSE_FRAMING_LENGTH:
        return framing->left_bytes == 0;
    case RESPONSE_FRAMING_CHUNKED:
        if (complete && !was_ended) {
            bytes_add_text(out, "0\r\n\r\n");
        }
        return complete;
    }
    return false;
}
