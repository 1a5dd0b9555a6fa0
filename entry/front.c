#include "entry/front.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "core/outcome.h"
#include "entry/error_body.h"
#include "entry/lingering.h"
#include "entry/slow_callers.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "front"

enum {
    STREAM_BLOCK_BYTES = 16 * 1024,
    CONNECTION_MEMORY_BYTES = 32 * 1024,
    MAX_RUNS_PER_ITERATION = 8, /* then other events of the loop are handled */
    BODY_RETRY_AFTER_MS = 1000,
    MS_PER_S = 1000,
    LISTEN_BACKLOG = 4096,
};

struct front {
    struct loop *loop;
    struct front_settings settings;
    struct front_handlers handlers;
    void *data;
    struct MHD_Daemon *daemon;
    struct loop_timer *timer;
    struct slow_callers *slow_callers;
    struct lingering *lingering; /* sockets with unread bodies */
    bool run_posted;
    uint64_t body_memory_used; /* bytes, of all exchanges */
    uint64_t response_memory_used;
    uint32_t open_exchanges;
};

enum exchange_state {
    EXCHANGE_READING,      /* the request is not complete yet */
    EXCHANGE_WAITING,      /* the response has not begun */
    EXCHANGE_RESPONDED,    /* the response is complete, not streamed */
    EXCHANGE_STREAMING,    /* the response has begun */
    EXCHANGE_STREAM_ENDED, /* the rest of the response is in the buffer */
    EXCHANGE_STREAM_CUT,   /* as above, but the connection is then broken */
    EXCHANGE_ABORTED,      /* the caller has left */
};

struct response_header {
    char *name;
    char *value;
};

struct exchange {
    struct front *front;
    struct MHD_Connection *connection;
    struct slow_caller *caller;
    enum exchange_state state;
    bool suspended;
    bool response_queued; /* passed to libmicrohttpd */
    bool refused;         /* by this module; the handlers are not called */
    bool body_unread;     /* and before its body was read */
    char *method;
    char *path;
    char *target;
    GByteArray *body;
    uint64_t reserved_bytes; /* of body_memory_used */
    uint64_t response_reserved_bytes;
    GArray *headers; /* struct response_header */
    uint32_t status;
    char *content_type;
    GByteArray *response_body; /* complete, or unsent bytes of a stream */
    uint64_t consumed_bytes;
    int watched_fd; /* -1: not watched */
    void *owner;
};

static void run_daemon(struct front *front);

static void
on_run_posted(void *data, uint64_t now_ms)
{
    struct front *front = data;

    (void)now_ms;
    front->run_posted = false;
    run_daemon(front);
}

/* Posts a call of run_daemon() to the loop, unless one is pending. */
static void
post_run(struct front *front)
{
    if (!front->run_posted) {
        front->run_posted = true;
        loop_post(front->loop, on_run_posted, front);
    }
}

static void
resume(struct exchange *exchange)
{
    if (exchange->suspended) {
        exchange->suspended = false;
        MHD_resume_connection(exchange->connection);
        post_run(exchange->front);
    }
}

static void
suspend(struct exchange *exchange)
{
    exchange->suspended = true;
    MHD_suspend_connection(exchange->connection);
}

const char *
exchange_method(const struct exchange *exchange)
{
    return exchange->method;
}

const char *
exchange_path(const struct exchange *exchange)
{
    return exchange->path;
}

const char *
exchange_target(const struct exchange *exchange)
{
    return exchange->target;
}

const char *
exchange_header(const struct exchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND,
                                       name);
}

GBytes *
exchange_take_body(struct exchange *exchange)
{
    GBytes *body = g_byte_array_free_to_bytes(exchange->body);

    exchange->body = NULL;
    return body;
}

void
exchange_set_owner(struct exchange *exchange, void *owner)
{
    exchange->owner = owner;
}

void *
exchange_owner(const struct exchange *exchange)
{
    return exchange->owner;
}

void
exchange_add_header(struct exchange *exchange, const char *name,
                    const char *value)
{
    struct response_header header = {g_strdup(name), g_strdup(value)};

    g_array_append_val(exchange->headers, header);
}

void
exchange_respond(struct exchange *exchange, uint32_t status,
                 const char *content_type, GByteArray *body)
{
    g_assert(exchange->state == EXCHANGE_WAITING ||
             exchange->state == EXCHANGE_READING);
    exchange->state = EXCHANGE_RESPONDED;
    exchange->status = status;
    exchange->content_type = g_strdup(content_type);
    exchange->response_body = body != NULL ? body : g_byte_array_new();
    resume(exchange);
}

void
exchange_stream_begin(struct exchange *exchange, uint32_t status,
                      const char *content_type)
{
    g_assert(exchange->state == EXCHANGE_WAITING);
    exchange->state = EXCHANGE_STREAMING;
    exchange->status = status;
    exchange->content_type = g_strdup(content_type);
    exchange->response_body = g_byte_array_new();
    resume(exchange);
}

void
exchange_stream_chunk(struct exchange *exchange, const uint8_t *bytes,
                      size_t count)
{
    g_assert(exchange->state == EXCHANGE_STREAMING);
    g_byte_array_append(exchange->response_body, bytes, (guint)count);
    resume(exchange);
}

void
exchange_stream_end(struct exchange *exchange, bool complete)
{
    g_assert(exchange->state == EXCHANGE_STREAMING);
    exchange->state = complete ? EXCHANGE_STREAM_ENDED : EXCHANGE_STREAM_CUT;
    resume(exchange);
}

static ssize_t
read_stream(void *data, uint64_t position, char *out, size_t max)
{
    struct exchange *exchange = data;
    size_t count = MIN(max, exchange->response_body->len);

    (void)position;
    if (count == 0) {
        switch (exchange->state) {
        case EXCHANGE_STREAM_ENDED:
            return MHD_CONTENT_READER_END_OF_STREAM;
        case EXCHANGE_STREAMING:
            suspend(exchange);
            return 0;
        default:
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    memcpy(out, exchange->response_body->data, count);
    g_byte_array_remove_range(exchange->response_body, 0, (guint)count);
    exchange->consumed_bytes += count;
    exchange->front->handlers.consumed(exchange->front->data, exchange,
                                       exchange->consumed_bytes);
    return (ssize_t)count;
}

static void
add_headers(const struct exchange *exchange, struct MHD_Response *response)
{
    if (exchange->content_type != NULL && exchange->content_type[0] != '\0') {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                                exchange->content_type);
    }
    for (guint i = 0; i < exchange->headers->len; i++) {
        const struct response_header *header =
            &g_array_index(exchange->headers, struct response_header, i);

        MHD_add_response_header(response, header->name, header->value);
    }
}

static enum MHD_Result
queue_response(struct exchange *exchange)
{
    struct MHD_Response *response;
    enum MHD_Result result;

    if (exchange->state == EXCHANGE_RESPONDED) {
        response = MHD_create_response_from_buffer(
            exchange->response_body->len, exchange->response_body->data,
            MHD_RESPMEM_PERSISTENT);
    }
    else {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, exchange, NULL);
    }
    if (response == NULL) {
        return MHD_NO;
    }
    add_headers(exchange, response);
    exchange->response_queued = true;
    result =
        MHD_queue_response(exchange->connection, exchange->status, response);
    MHD_destroy_response(response);
    return result;
}

static void
on_disconnect(void *data, int fd, uint32_t events)
{
    struct exchange *exchange = data;
    struct front *front = exchange->front;

    (void)events;
    loop_unwatch(front->loop, fd);
    exchange->watched_fd = -1;
    front->handlers.disconnected(front->data, exchange);
    if (exchange->state == EXCHANGE_WAITING ||
        exchange->state == EXCHANGE_STREAMING) {
        exchange->state = EXCHANGE_ABORTED;
    }
    resume(exchange);
}

/* Watches for a disconnect, which libmicrohttpd doesn't notice on a suspended
   connection. */
static void
watch_disconnect(struct exchange *exchange)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    if (info != NULL &&
        loop_watch(exchange->front->loop, info->connect_fd,
                   EPOLLRDHUP | EPOLLET, on_disconnect, exchange)) {
        exchange->watched_fd = info->connect_fd;
    }
}

static bool
reserve_body_memory(struct exchange *exchange, uint64_t bytes)
{
    struct front *front = exchange->front;

    if (front->body_memory_used + bytes > front->settings.body_memory_bytes) {
        return false;
    }
    front->body_memory_used += bytes;
    exchange->reserved_bytes += bytes;
    return true;
}

bool
exchange_reserve_response(struct exchange *exchange, uint64_t bytes)
{
    struct front *front = exchange->front;

    if (bytes >
        front->settings.body_memory_bytes - front->response_memory_used) {
        return false;
    }
    front->response_memory_used += bytes;
    exchange->response_reserved_bytes += bytes;
    return true;
}

static void
refuse(struct exchange *exchange, uint32_t status, const char *message,
       uint32_t retry_after_ms)
{
    struct error_body error = {.code = "bad-request",
                               .message = message,
                               .outcome = OUTCOME_NOT_RUN,
                               .retry_after_ms = retry_after_ms};

    if (retry_after_ms != 0) {
        error.code = reason_name(REASON_OVERLOADED);
    }
    exchange->refused = true;
    error_body_respond(exchange, status, &error);
}

static void
refuse_long_body(struct exchange *exchange)
{
    refuse(exchange, MHD_HTTP_CONTENT_TOO_LARGE,
           "the body is longer than this service takes", 0);
}

static void
refuse_without_memory(struct exchange *exchange)
{
    refuse(exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
           "no memory for another body now", BODY_RETRY_AFTER_MS);
}

/* Checks the body's Content-Length and reserves memory for it before any of it
   is read. Refuses the request if that fails. */
static bool
admit_body(struct exchange *exchange)
{
    const char *length = exchange_header(exchange, "Content-Length");
    uint64_t bytes = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;

    if (bytes > exchange->front->settings.max_body_bytes) {
        refuse_long_body(exchange);
        return false;
    }
    if (!reserve_body_memory(exchange, bytes)) {
        refuse_without_memory(exchange);
        return false;
    }
    return true;
}

static struct slow_caller *
find_caller(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return info->socket_context;
}

static int
connection_fd(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

static void
on_connection(void *data, struct MHD_Connection *connection, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    struct front *front = data;

    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        slow_callers_remove(front->slow_callers, *context);
        return;
    }
    *context =
        slow_callers_add(front->slow_callers, connection_fd(connection));
}

/* libmicrohttpd calls this with the target as received, before it splits and
   changes it, and passes the result to on_access(). */
static void *
create_exchange(void *data, const char *target,
                struct MHD_Connection *connection)
{
    struct exchange *exchange = g_new0(struct exchange, 1);

    exchange->front = data;
    exchange->connection = connection;
    exchange->target = g_strdup(target);
    exchange->caller = find_caller(connection);
    slow_caller_expect(exchange->caller, loop_now_ms(exchange->front->loop));
    exchange->front->open_exchanges++;
    exchange->body = g_byte_array_new();
    exchange->headers =
        g_array_new(FALSE, FALSE, sizeof(struct response_header));
    exchange->watched_fd = -1;
    return exchange;
}

static void
free_exchange(struct exchange *exchange)
{
    if (exchange->watched_fd >= 0) {
        loop_unwatch(exchange->front->loop, exchange->watched_fd);
    }
    for (guint i = 0; i < exchange->headers->len; i++) {
        struct response_header *header =
            &g_array_index(exchange->headers, struct response_header, i);

        g_free(header->name);
        g_free(header->value);
    }
    g_array_unref(exchange->headers);
    if (exchange->body != NULL) {
        g_byte_array_unref(exchange->body);
    }
    if (exchange->response_body != NULL) {
        g_byte_array_unref(exchange->response_body);
    }
    exchange->front->body_memory_used -= exchange->reserved_bytes;
    exchange->front->response_memory_used -= exchange->response_reserved_bytes;
    g_free(exchange->content_type);
    g_free(exchange->method);
    g_free(exchange->path);
    g_free(exchange->target);
    g_free(exchange);
}

static enum MHD_Result
receive_body(struct exchange *exchange, const char *bytes, size_t count)
{
    uint64_t needed = exchange->body->len + count;

    if (exchange->refused) {
        return MHD_YES;
    }
    if (needed > exchange->front->settings.max_body_bytes) {
        refuse_long_body(exchange);
        return MHD_YES;
    }
    /* Without Content-Length, memory is reserved as the body arrives. */
    if (needed > exchange->reserved_bytes &&
        !reserve_body_memory(exchange, needed - exchange->reserved_bytes)) {
        refuse_without_memory(exchange);
        return MHD_YES;
    }
    g_byte_array_append(exchange->body, (const guint8 *)bytes, (guint)count);
    slow_caller_set_body(exchange->caller, exchange->body->len);
    return MHD_YES;
}

static enum MHD_Result
handle_request(struct exchange *exchange)
{
    struct front *front = exchange->front;

    if (exchange->refused) {
        return queue_response(exchange);
    }
    exchange->state = EXCHANGE_WAITING;
    slow_caller_complete(exchange->caller);
    watch_disconnect(exchange);
    front->handlers.request(front->data, exchange);
    if (exchange->state == EXCHANGE_WAITING) {
        suspend(exchange);
        return MHD_YES;
    }
    return queue_response(exchange);
}

static enum MHD_Result
on_access(void *data, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *upload,
          size_t *upload_bytes, void **exchange_slot)
{
    struct exchange *exchange = *exchange_slot;
    enum MHD_Result result;

    (void)version;
    (void)data;
    (void)connection;
    if (exchange->method == NULL) {
        exchange->method = g_strdup(method);
        exchange->path = g_strdup(url);
        exchange->body_unread = !admit_body(exchange);
        return exchange->body_unread ? queue_response(exchange) : MHD_YES;
    }
    if (*upload_bytes > 0) {
        result = receive_body(exchange, upload, *upload_bytes);
        *upload_bytes = 0;
        return result;
    }
    switch (exchange->state) {
    case EXCHANGE_READING:
        return handle_request(exchange);
    case EXCHANGE_RESPONDED:
        if (exchange->refused) {
            return queue_response(exchange);
        }
        /* fall through */
    case EXCHANGE_STREAMING:
    case EXCHANGE_STREAM_ENDED:
    case EXCHANGE_STREAM_CUT:
        return queue_response(exchange);
    default:
        return MHD_NO;
    }
}

static void
on_completed(void *data, struct MHD_Connection *connection,
             void **exchange_slot, enum MHD_RequestTerminationCode code)
{
    struct front *front = data;
    struct exchange *exchange = *exchange_slot;

    (void)code;
    if (exchange == NULL) {
        return;
    }
    *exchange_slot = NULL;
    if (exchange->body_unread) {
        lingering_add(front->lingering, connection_fd(connection));
    }
    slow_caller_expect(exchange->caller, loop_now_ms(front->loop));
    front->open_exchanges--;
    if (exchange->state != EXCHANGE_READING && !exchange->refused) {
        front->handlers.closed(front->data, exchange);
    }
    free_exchange(exchange);
}

/* Replaces libmicrohttpd's decoding of percent-escapes, so that paths keep
   them. */
static size_t
keep_escapes(void *data, struct MHD_Connection *connection, char *text)
{
    (void)data;
    (void)connection;
    return strlen(text);
}

static void
log_daemon_message(void *data, const char *format, va_list args)
{
    char *text = g_strdup_vprintf(format, args);

    (void)data;
    g_strchomp(text);
    LOG_DBG("libmicrohttpd message", "text=\"%s\"", text);
    g_free(text);
}

/* Runs libmicrohttpd until it waits for a descriptor or a timeout. */
static void
run_daemon(struct front *front)
{
    unsigned long long timeout_ms;

    for (int i = 0; i < MAX_RUNS_PER_ITERATION; i++) {
        MHD_run(front->daemon);
        if (MHD_get_timeout(front->daemon, &timeout_ms) != MHD_YES) {
            loop_timer_disarm(front->timer);
            return;
        }
        if (timeout_ms > 0) {
            loop_timer_arm(front->timer,
                           loop_now_ms(front->loop) + timeout_ms);
            return;
        }
    }
    post_run(front);
}

static void
on_daemon_ready(void *data, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    run_daemon(data);
}

static void
on_timer(void *data, uint64_t now_ms)
{
    (void)now_ms;
    run_daemon(data);
}

static struct MHD_Daemon *
start_daemon(struct front *front)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(front->settings.port)};

    if (inet_pton(AF_INET, front->settings.ip, &at.sin_addr) != 1) {
        return NULL;
    }
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
        front->settings.port, NULL, NULL, on_access, front,
        MHD_OPTION_EXTERNAL_LOGGER, log_daemon_message, front,
        MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_UNESCAPE_CALLBACK, keep_escapes,
        NULL, MHD_OPTION_URI_LOG_CALLBACK, create_exchange, front,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, front,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, front,
        MHD_OPTION_CONNECTION_LIMIT, front->settings.max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, front->settings.idle_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

static void
free_front(struct front *front)
{
    loop_timer_destroy(front->timer);
    slow_callers_destroy(front->slow_callers);
    lingering_destroy(front->lingering);
    g_free(front);
}

struct front *
front_create(struct loop *loop, const struct front_settings *settings,
             const struct front_handlers *handlers, void *data)
{
    struct front *front = g_new0(struct front, 1);
    const union MHD_DaemonInfo *info;

    front->loop = loop;
    front->settings = *settings;
    front->handlers = *handlers;
    front->data = data;
    front->timer = loop_timer_create(loop, on_timer, front);
    front->slow_callers =
        slow_callers_create(loop, (uint64_t)settings->idle_s * MS_PER_S);
    front->lingering = lingering_create(loop);
    front->daemon = start_daemon(front);
    if (front->daemon == NULL) {
        goto fail;
    }
    info = MHD_get_daemon_info(front->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    if (info == NULL ||
        !loop_watch(loop, info->epoll_fd, EPOLLIN, on_daemon_ready, front)) {
        MHD_stop_daemon(front->daemon);
        goto fail;
    }
    return front;
fail:
    free_front(front);
    return NULL;
}

void
front_destroy(struct front *front)
{
    const union MHD_DaemonInfo *info;

    if (front == NULL) {
        return;
    }
    info = MHD_get_daemon_info(front->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    if (info != NULL) {
        loop_unwatch(front->loop, info->epoll_fd);
    }
    MHD_stop_daemon(front->daemon);
    free_front(front);
}

/* Has libmicrohttpd accept the connections that the kernel has accepted, whose
   requests may be there already. */
static void
accept_waiting(struct front *front)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(front->daemon, MHD_DAEMON_INFO_LISTEN_FD);
    struct pollfd listener = {.events = POLLIN};

    if (info == NULL) {
        return;
    }
    listener.fd = info->listen_fd;
    for (int i = 0; i < LISTEN_BACKLOG && poll(&listener, 1, 0) > 0; i++) {
        MHD_run(front->daemon);
    }
}

void
front_stop_listening(struct front *front)
{
    MHD_socket fd;

    accept_waiting(front);
    fd = MHD_quiesce_daemon(front->daemon);
    if (fd != MHD_INVALID_SOCKET) {
        close(fd);
    }
}

uint32_t
front_open_exchanges(const struct front *front)
{
    return front->open_exchanges;
}

uint16_t
front_port(const struct front *front)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(front->daemon, MHD_DAEMON_INFO_BIND_PORT);

    return info != NULL ? info->port : 0;
}
