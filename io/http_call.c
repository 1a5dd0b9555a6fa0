#include "io/http_call.h"

#include <string.h>

#include "core/bytes.h"
#include "io/http_connection.h"
#include "io/loop.h"

enum {
    MAX_HEAD_BYTES = 64 * 1024,
    MS_PER_S = 1000,
    DECIMAL = 10
};

/* A call in progress. */
struct call {
    const struct http_request *request;
    const struct http_response_handlers *handlers;
    void *context;
    uint64_t deadline_ms; /* of the complete response */
    bool begun;           /* bytes of the response have arrived */
    bool closed;          /* by the peer, before the response was complete */
    bool keep_alive;
    bool ok;
    enum http_error error; /* of a failed call */
    const char *why;       /* a static text */
};

struct http_session {
    char *ip;
    uint16_t port;
    bool reuse;
    struct loop *loop; /* runs during a call only */
    struct loop_timer *timer;
    struct http_connection *connection; /* NULL: none is open */
    uint32_t connect_timeout_ms;
    uint32_t read_timeout_ms;
    uint32_t total_timeout_ms;
    uint64_t number;   /* of the last response; see http_session_number() */
    struct call *call; /* NULL: none is in progress */
};

GQuark
http_error_quark(void)
{
    return g_quark_from_static_string("http-error");
}

static void
close_connection(struct http_session *session)
{
    http_connection_destroy(session->connection);
    session->connection = NULL;
}

static void
end_call(struct http_session *session, bool ok, enum http_error error,
         const char *why)
{
    struct call *call = session->call;

    call->ok = ok;
    call->error = error;
    call->why = why;
    loop_timer_disarm(session->timer);
    loop_stop(session->loop);
    if (!ok || !call->keep_alive || !session->reuse ||
        http_connection_queued_bytes(session->connection) > 0) {
        close_connection(session);
    }
}

/* The response must go on within the time, and be complete by the call's
   deadline. A handler may have taken a while, so the clock is read. */
static void
arm_timer(struct http_session *session, uint32_t timeout_ms)
{
    loop_timer_arm(session->timer, MIN(loop_clock_ms() + timeout_ms,
                                       session->call->deadline_ms));
}

/* Handlers of the connection. */

static void
on_opened(void *data)
{
    struct http_session *session = data;

    session->call->error = HTTP_ERROR_NO_RESPONSE;
    arm_timer(session, session->read_timeout_ms);
}

static void
on_begun(void *data)
{
    struct http_session *session = data;

    session->call->begun = true;
}

/* Whether the response may answer the call's request. */
static bool
check_echo(struct call *call, const struct http_head *head)
{
    const struct http_header *expected = call->request->echoed;
    const char *value =
        expected != NULL ? http_head_value(head, expected->name) : NULL;

    call->keep_alive = head->keep_alive && !head->until_close &&
                       (expected == NULL || value != NULL);
    return value == NULL || strcmp(value, expected->value) == 0;
}

static void
on_head(void *data, const struct http_head *head)
{
    struct http_session *session = data;
    struct call *call = session->call;
    const char *content_type = http_head_value(head, "Content-Type");
    const char *name = call->request->number_header;
    const char *number = name != NULL ? http_head_value(head, name) : NULL;

    if (!check_echo(call, head)) {
        end_call(session, false, HTTP_ERROR_NO_RESPONSE,
                 "answer to another request");
        return;
    }
    if (number == NULL ||
        !g_ascii_string_to_unsigned(number, DECIMAL, 0, UINT64_MAX,
                                    &session->number, NULL)) {
        session->number = HTTP_NO_NUMBER;
    }
    if (!call->handlers->head(call->context, head->status,
                              content_type != NULL ? content_type : "")) {
        end_call(session, false, HTTP_ERROR_NO_RESPONSE, "stopped");
        return;
    }
    arm_timer(session, session->read_timeout_ms);
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    struct http_session *session = data;
    struct call *call = session->call;

    if (!call->handlers->data(call->context, (const char *)bytes, count)) {
        end_call(session, false, HTTP_ERROR_NO_RESPONSE, "stopped");
        return;
    }
    arm_timer(session, session->read_timeout_ms);
}

static void
on_complete(void *data)
{
    end_call(data, true, HTTP_ERROR_NO_RESPONSE, "");
}

static void
on_ended(void *data, enum http_connection_end end)
{
    struct http_session *session = data;

    if (session->call->ok) {
        /* Bytes after the complete response. */
        close_connection(session);
        return;
    }
    session->call->closed = true;
    end_call(session, false, session->call->error,
             http_connection_end_text(end));
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct http_session *session = data;

    (void)now_ms;
    end_call(session, false, session->call->error, "no answer in time");
}

static const struct http_connection_handlers connection_handlers = {
    .opened = on_opened,
    .begun = on_begun,
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
    .ended = on_ended,
};

/* Sessions. */

struct http_session *
http_session_create(const char *ip, uint16_t port, bool reuse)
{
    struct http_session *session = g_new0(struct http_session, 1);

    session->ip = g_strdup(ip);
    session->port = port;
    session->reuse = reuse;
    session->loop = loop_create();
    if (session->loop != NULL) {
        session->timer = loop_timer_create(session->loop, on_timer, session);
    }
    return session;
}

static void
stop_loop(void *data, uint64_t now_ms)
{
    (void)now_ms;
    loop_stop(data);
}

void
http_session_destroy(struct http_session *session)
{
    if (session == NULL) {
        return;
    }
    if (session->loop != NULL) {
        close_connection(session);
        /* The loop frees closed connections in its next iteration. */
        loop_post(session->loop, stop_loop, session->loop);
        loop_run(session->loop);
        loop_timer_destroy(session->timer);
        loop_destroy(session->loop);
    }
    g_free(session->ip);
    g_free(session);
}

void
http_session_set_timeouts(struct http_session *session, uint32_t connect_s,
                          uint32_t read_s, uint32_t total_s)
{
    session->connect_timeout_ms = connect_s * MS_PER_S;
    session->read_timeout_ms = read_s * MS_PER_S;
    session->total_timeout_ms = total_s * MS_PER_S;
}

uint64_t
http_session_number(const struct http_session *session)
{
    return session->number;
}

/* Calls. */

static GByteArray *
build_request(const struct http_session *session,
              const struct http_request *request)
{
    GByteArray *out = g_byte_array_new();
    GString *head = g_string_new(NULL);

    g_string_printf(head, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n", request->method,
                    request->path, session->ip, session->port);
    if (request->content_type != NULL && request->content_type[0] != '\0') {
        g_string_append_printf(head, "Content-Type: %s\r\n",
                               request->content_type);
    }
    for (size_t i = 0; i < request->header_count; i++) {
        g_string_append_printf(head, "%s: %s\r\n", request->headers[i].name,
                               request->headers[i].value);
    }
    if (request->body_bytes > 0 || request->method[0] == 'P') {
        /* POST, PUT and PATCH have a body, if only an empty one. */
        g_string_append_printf(head, "Content-Length: %zu\r\n",
                               request->body_bytes);
    }
    if (!session->reuse) {
        g_string_append(head, "Connection: close\r\n");
    }
    g_string_append(head, "\r\n");
    bytes_add_text(out, head->str);
    if (request->body_bytes > 0) {
        g_byte_array_append(out, request->body, (guint)request->body_bytes);
    }
    g_string_free(head, TRUE);
    return out;
}

static bool
open_connection(struct http_session *session)
{
    static const struct http_connection_settings settings = {
        .max_head_bytes = MAX_HEAD_BYTES};

    session->connection =
        http_connection_connect(session->loop, session->ip, session->port,
                                &settings, &connection_handlers, session);
    return session->connection != NULL;
}

/* Makes the call on the open connection, or on a new one. */
static void
attempt(struct http_session *session, const GByteArray *message,
        bool head_only)
{
    struct call *call = session->call;
    bool reused = session->connection != NULL;

    call->begun = false;
    call->closed = false;
    call->keep_alive = false;
    call->ok = false;
    call->error = reused ? HTTP_ERROR_NO_RESPONSE : HTTP_ERROR_NOT_SENT;
    call->why = "no connection";
    if (!reused && !open_connection(session)) {
        return;
    }
    arm_timer(session,
              reused ? session->read_timeout_ms : session->connect_timeout_ms);
    http_connection_next(session->connection, head_only);
    http_connection_send(session->connection, message->data, message->len);
    loop_run(session->loop);
}

bool
http_call_stream(struct http_session *session,
                 const struct http_request *request,
                 const struct http_response_handlers *handlers, void *context,
                 GError **error)
{
    struct call call = {.request = request,
                        .handlers = handlers,
                        .context = context,
                        .deadline_ms =
                            loop_clock_ms() + session->total_timeout_ms};
    GByteArray *message = build_request(session, request);
    bool head_only = strcmp(request->method, "HEAD") == 0;
    bool reused;

    session->call = &call;
    session->number = HTTP_NO_NUMBER;
    if (session->connection != NULL &&
        http_connection_is_stale(session->connection)) {
        close_connection(session);
    }
    reused = session->connection != NULL;
    if (session->loop == NULL) {
        call.why = "no descriptors left";
        call.error = HTTP_ERROR_NOT_SENT;
    }
    else {
        attempt(session, message, head_only);
        /* The peer may have closed the kept connection meanwhile, or ended
           with the request. */
        if (reused && call.closed && !call.begun) {
            attempt(session, message, head_only);
            if (call.error == HTTP_ERROR_NOT_SENT) {
                call.error = HTTP_ERROR_NO_RESPONSE;
            }
        }
    }
    session->call = NULL;
    g_byte_array_unref(message);
    if (!call.ok) {
        g_set_error(error, http_error_quark(), call.error, "%s:%u: %s",
                    session->ip, session->port, call.why);
    }
    return call.ok;
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
