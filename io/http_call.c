#include "io/http_call.h"

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <neon/ne_utils.h>

enum {
    READ_BLOCK_BYTES = 16 * 1024,
    DECIMAL = 10
};

struct http_session {
    ne_session *neon;
    uint64_t index;
};

GQuark
http_error_quark(void)
{
    return g_quark_from_static_string("http-error");
}

bool
http_call_init(void)
{
    return ne_sock_init() == 0;
}

struct http_session *
http_session_create(const char *ip, uint16_t port, bool reuse)
{
    struct http_session *session = g_new0(struct http_session, 1);

    session->neon = ne_session_create("http", ip, port);
    ne_set_session_flag(session->neon, NE_SESSFLAG_PERSIST, reuse ? 1 : 0);
    return session;
}

void
http_session_destroy(struct http_session *session)
{
    if (session == NULL) {
        return;
    }
    ne_session_destroy(session->neon);
    g_free(session);
}

void
http_session_set_timeouts(struct http_session *session, uint32_t connect_s,
                          uint32_t read_s)
{
    ne_set_connect_timeout(session->neon, (int)connect_s);
    ne_set_read_timeout(session->neon, (int)read_s);
}

uint64_t
http_session_index(const struct http_session *session)
{
    return session->index;
}

static void
save_index(struct http_session *session, ne_request *request)
{
    const char *index = ne_get_response_header(request, "X-Consul-Index");

    session->index =
        index != NULL ? g_ascii_strtoull(index, NULL, DECIMAL) : 0;
}

static ne_request *
build_request(const struct http_session *session,
              const struct http_request *request)
{
    ne_request *built =
        ne_request_create(session->neon, request->method, request->path);

    if (request->content_type != NULL && request->content_type[0] != '\0') {
        ne_add_request_header(built, "Content-Type", request->content_type);
    }
    for (size_t i = 0; i < request->header_count; i++) {
        ne_add_request_header(built, request->headers[i].name,
                              request->headers[i].value);
    }
    if (request->body_bytes > 0) {
        ne_set_request_body_buffer(built, request->body, request->body_bytes);
    }
    return built;
}

static enum http_error
error_code(int result)
{
    return result == NE_CONNECT || result == NE_LOOKUP
               ? HTTP_ERROR_NOT_SENT
               : HTTP_ERROR_NO_RESPONSE;
}

static bool
read_blocks(ne_request *request, const struct http_response_handlers *handlers,
            void *context, bool *stopped)
{
    char block[READ_BLOCK_BYTES];
    ssize_t count;

    while ((count = ne_read_response_block(request, block, sizeof(block))) >
           0) {
        if (!handlers->data(context, block, (size_t)count)) {
            *stopped = true;
            return false;
        }
    }
    return count == 0;
}

bool
http_call_stream(struct http_session *session,
                 const struct http_request *request,
                 const struct http_response_handlers *handlers, void *context,
                 GError **error)
{
    ne_request *built = build_request(session, request);
    bool stopped = false;
    bool ok = false;
    int result = ne_begin_request(built);
    const char *content_type;

    if (result != NE_OK) {
        g_set_error(error, http_error_quark(), error_code(result), "%s",
                    ne_get_error(session->neon));
        goto out;
    }
    save_index(session, built);
    content_type = ne_get_response_header(built, "Content-Type");
    if (!handlers->head(context, (uint32_t)ne_get_status(built)->code,
                        content_type != NULL ? content_type : "")) {
        stopped = true;
    }
    ok = !stopped && read_blocks(built, handlers, context, &stopped) &&
         ne_end_request(built) == NE_OK;
    if (!ok) {
        g_set_error(error, http_error_quark(), HTTP_ERROR_NO_RESPONSE, "%s",
                    stopped ? "stopped" : ne_get_error(session->neon));
    }
out:
    ne_request_destroy(built);
    if (!ok) {
        /* The next call must not read the rest of this response. */
        ne_close_connection(session->neon);
    }
    return ok;
}

struct fetch {
    uint32_t status;
    GByteArray *body;
    size_t max_bytes;
    size_t bytes;
};

static bool
on_fetch_head(void *context, uint32_t status, const char *content_type)
{
    struct fetch *fetch = context;

    (void)content_type;
    fetch->status = status;
    return true;
}

static bool
on_fetch_data(void *context, const char *bytes, size_t count)
{
    struct fetch *fetch = context;

    fetch->bytes += count;
    if (fetch->bytes > fetch->max_bytes) {
        return false;
    }
    if (fetch->body != NULL) {
        g_byte_array_append(fetch->body, (const guint8 *)bytes, (guint)count);
    }
    return true;
}

uint32_t
http_call_fetch(struct http_session *session,
                const struct http_request *request, GByteArray *body,
                size_t max_bytes, GError **error)
{
    static const struct http_response_handlers handlers = {on_fetch_head,
                                                           on_fetch_data};
    struct fetch fetch = {.body = body, .max_bytes = max_bytes};
    GError *failure = NULL;

    if (http_call_stream(session, request, &handlers, &fetch, &failure)) {
        return fetch.status;
    }
    if (fetch.bytes > fetch.max_bytes) {
        g_clear_error(&failure);
        g_set_error(error, http_error_quark(), HTTP_ERROR_RESPONSE_TOO_LONG,
                    "the response is longer than %zu bytes", max_bytes);
        return 0;
    }
    g_propagate_error(error, failure);
    return 0;
}
