#include "gateway/response_head.h"

#include <glib.h>
#include <string.h>

#include "core/bytes.h"
#include "io/http_message.h"

static const char *
reason_phrase(uint32_t status)
{
    switch (status) {
    case STATUS_OK:
        return "OK";
    case STATUS_BAD_REQUEST:
        return "Bad Request";
    case STATUS_UNAUTHORIZED:
        return "Unauthorized";
    case STATUS_NOT_FOUND:
        return "Not Found";
    case STATUS_BAD_GATEWAY:
        return "Bad Gateway";
    case STATUS_UNAVAILABLE:
        return "Service Unavailable";
    case STATUS_GATEWAY_TIMEOUT:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void
response_head_begin(GByteArray *out, uint32_t status)
{
    char line[64];

    g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
               reason_phrase(status));
    bytes_add_text(out, line);
}

void
response_head_copy(GByteArray *out, const struct http_head *head)
{
    response_head_begin(out, head->status);
    for (size_t i = 0; i < head->header_count; i++) {
        const struct http_header *header = &head->headers[i];

        if (!http_head_is_hop_by_hop(head, header->name)) {
            bytes_add_text(out, header->name);
            bytes_add_text(out, ": ");
            bytes_add_text(out, header->value);
            bytes_add_text(out, "\r\n");
        }
    }
}

bool
response_head_is_event_stream(const struct http_head *head)
{
    const char *type = http_head_value(head, "Content-Type");

    return type != NULL && g_str_has_prefix(type, "text/event-stream");
}
