#include "io/http_message.h"

#include <glib.h>
#include <string.h>

static const char *const hop_by_hop_headers[] = {
    "Connection", "Keep-Alive",        "Proxy-Authenticate",
    "TE",         "Trailer",           "Proxy-Authorization",
    "Upgrade",    "Transfer-Encoding", "Proxy-Connection",
    "Expect",     "Content-Length",
};

const char *
http_head_value(const struct http_head *head, const char *name)
{
    for (size_t i = 0; i < head->header_count; i++) {
        if (g_ascii_strcasecmp(head->headers[i].name, name) == 0) {
            return head->headers[i].value;
        }
    }
    return NULL;
}

size_t
http_head_count(const struct http_head *head, const char *name)
{
    size_t count = 0;

    for (size_t i = 0; i < head->header_count; i++) {
        count += g_ascii_strcasecmp(head->headers[i].name, name) == 0;
    }
    return count;
}

static bool
list_contains(const char *list, const char *name)
{
    char **names = g_strsplit(list, ",", -1);
    bool found = false;

    for (size_t i = 0; names[i] != NULL && !found; i++) {
        found = g_ascii_strcasecmp(g_strstrip(names[i]), name) == 0;
    }
    g_strfreev(names);
    return found;
}

bool
http_head_is_hop_by_hop(const struct http_head *head, const char *name)
{
    const char *connection;

    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
        if (g_ascii_strcasecmp(hop_by_hop_headers[i], name) == 0) {
            return true;
        }
    }
    connection = http_head_value(head, "Connection");
    return connection != NULL && list_contains(connection, name);
}
