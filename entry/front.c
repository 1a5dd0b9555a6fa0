#include "entry/front.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "core/outcome.h"
#include "entry/error_body.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "front"

enum {
    STREAM_BLOCK_BYTES = 16 * 1024,
    CONNECTION_MEMORY_BYTES = 32 * 1024,
    MAX_RUNS_A_ROUND = 8,
    BODY_RETRY_AFTER_MS = 1000,
    LISTEN_BACKLOG = 4096,
};

struct front {
    struct loop *loop;
    struct front_settings settings;
    struct front_handlers handlers;
    void *data;
    struct MHD_Daemon *daemon;
    struct loop_timer *timer;
    bool run_posted;
    uint64_t body_bytes; /* of all exchanges */
    uint32_t open;
};

enum exchange_state {
    EXCHANGE_READING,   /* the request is coming in */
    EXCHANGE_WAITING,   /* its answer is owed */
    EXCHANGE_ANSWERED,  /* the whole answer is given */
    EXCHANGE_STREAMING, /* the answer is coming */
    EXCHANGE_STREAMED,  /* all of it is in the buffer */
    EXCHANGE_BROKEN,    /* the connection is to be cut */
};

struct answer_header {
    char *name;
    char *value;
};

struct exchange {
    struct front *front;
    struct MHD_Connection *connection;
    enum exchange_state state;
    bool suspended;
    bool queued; /* the response is libmicrohttpd's */
    bool refused;
    char *method;
    char *path;
    char *target;
    GByteArray *body;
    uint64_t counted_bytes; /* of the front's body memory */
    GArray *headers;        /* struct answer_header */
    uint32_t status;
    char *content_type;
    GByteArray *answer; /* whole, or what waits of a stream */
    uint64_t consumed_bytes;
    int watched_fd; /* -1: not watched */
    void *owner;
};

static void run_daemon(struct front *front);

static void
run_posted(void *data, uint64_t now_ms)
{
    struct front *front = data;

    (void)now_ms;
    front->run_posted = false;
    run_daemon(front);
}

/* In the next round of the loop. */
static void
run_soon(struct front *front)
{
    if (!front->run_posted) {
        front->run_posted = true;
        loop_post(front->loop, run_posted, front);
    }
}

static void
resume(struct exchange *exchange)
{
    if (exchange->suspended) {
        exchange->suspended = false;
        MHD_resume_connection(exchange->connection);
        run_soon(exchange->front);
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
    struct answer_header header = {g_strdup(name), g_strdup(value)};

    g_array_append_val(exchange->headers, header);
}

void
exchange_answer(struct exchange *exchange, uint32_t status,
                const char *content_type, GByteArray *body)
{
    g_assert(exchange->state == EXCHANGE_WAITING ||
             exchange->state == EXCHANGE_READING);
    exchange->state = EXCHANGE_ANSWERED;
    exchange->status = status;
    exchange->content_type = g_strdup(content_type);
    exchange->answer = body != NULL ? body : g_byte_array_new();
    resume(exchange);
}

void
exchange_stream(struct exchange *exchange, uint32_t status,
                const char *content_type)
{
    g_assert(exchange->state == EXCHANGE_WAITING);
    exchange->state = EXCHANGE_STREAMING;
    exchange->status = status;
    exchange->content_type = g_strdup(content_type);
    exchange->answer = g_byte_array_new();
    resume(exchange);
}

void
exchange_stream_data(struct exchange *exchange, const uint8_t *bytes,
                     size_t count)
{
    g_assert(exchange->state == EXCHANGE_STREAMING);
    g_byte_array_append(exchange->answer, bytes, (guint)count);
    resume(exchange);
}

void
exchange_stream_end(struct exchange *exchange, bool whole)
{
    g_assert(exchange->state == EXCHANGE_STREAMING);
    exchange->state = whole ? EXCHANGE_STREAMED : EXCHANGE_BROKEN;
    resume(exchange);
}

static ssize_t
read_stream(void *data, uint64_t position, char *out, size_t max)
{
    struct exchange *exchange = data;
    size_t count = MIN(max, exchange->answer->len);

    (void)position;
    if (count == 0) {
        switch (exchange->state) {
        case EXCHANGE_STREAMED:
            return MHD_CONTENT_READER_END_OF_STREAM;
        case EXCHANGE_STREAMING:
            suspend(exchange);
            return 0;
        default:
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
    memcpy(out, exchange->answer->data, count);
    g_byte_array_remove_range(exchange->answer, 0, (guint)count);
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
        const struct answer_header *header =
            &g_array_index(exchange->headers, struct answer_header, i);

        MHD_add_response_header(response, header->name, header->value);
    }
}

static enum MHD_Result
queue_response(struct exchange *exchange)
{
    struct MHD_Response *response;
    enum MHD_Result result;

    if (exchange->state == EXCHANGE_ANSWERED) {
        response = MHD_create_response_from_buffer(exchange->answer->len,
                                                   exchange->answer->data,
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
    exchange->queued = true;
    result =
        MHD_queue_response(exchange->connection, exchange->status, response);
    MHD_destroy_response(response);
    return result;
}

static void
on_hang_up(void *data, int fd, uint32_t events)
{
    struct exchange *exchange = data;
    struct front *front = exchange->front;

    (void)events;
    loop_unwatch(front->loop, fd);
    exchange->watched_fd = -1;
    front->handlers.gone(front->data, exchange);
    if (exchange->state == EXCHANGE_WAITING ||
        exchange->state == EXCHANGE_STREAMING) {
        exchange->state = EXCHANGE_BROKEN;
    }
    resume(exchange);
}

/* libmicrohttpd does not look at suspended connections. */
static void
watch_hang_up(struct exchange *exchange)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    if (info != NULL &&
        loop_watch(exchange->front->loop, info->connect_fd,
                   EPOLLRDHUP | EPOLLET, on_hang_up, exchange)) {
        exchange->watched_fd = info->connect_fd;
    }
}

static bool
count_body(struct exchange *exchange, uint64_t bytes)
{
    struct front *front = exchange->front;

    if (front->body_bytes + bytes > front->settings.body_memory_bytes) {
        return false;
    }
    front->body_bytes += bytes;
    exchange->counted_bytes += bytes;
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
    error_body_answer(exchange, status, &error);
}

/* Admits the body by its announced length, before any of it is read. */
static bool
admit_body(struct exchange *exchange)
{
    const char *length = exchange_header(exchange, "Content-Length");
    uint64_t bytes = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;

    if (bytes > exchange->front->settings.max_body_bytes) {
        refuse(exchange, MHD_HTTP_CONTENT_TOO_LARGE,
               "the body is longer than this service takes", 0);
        return false;
    }
    if (!count_body(exchange, bytes)) {
        refuse(exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
               "no memory for another body now", BODY_RETRY_AFTER_MS);
        return false;
    }
    return true;
}

static enum MHD_Result
collect_query(void *data, enum MHD_ValueKind kind, const char *key,
              const char *value)
{
    GString *target = data;

    (void)kind;
    g_string_append_c(target, strchr(target->str, '?') == NULL ? '?' : '&');
    g_string_append(target, key);
    if (value != NULL) {
        g_string_append_printf(target, "=%s", value);
    }
    return MHD_YES;
}

static struct exchange *
create_exchange(struct front *front, struct MHD_Connection *connection,
                const char *url, const char *method)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    GString *target = g_string_new(url);

    exchange->front = front;
    exchange->connection = connection;
    exchange->method = g_strdup(method);
    exchange->path = g_strdup(url);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collect_query,
                              target);
    exchange->target = g_string_free(target, FALSE);
    exchange->body = g_byte_array_new();
    exchange->headers =
        g_array_new(FALSE, FALSE, sizeof(struct answer_header));
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
        struct answer_header *header =
            &g_array_index(exchange->headers, struct answer_header, i);

        g_free(header->name);
        g_free(header->value);
    }
    g_array_unref(exchange->headers);
    if (exchange->body != NULL) {
        g_byte_array_unref(exchange->body);
    }
    if (exchange->answer != NULL) {
        g_byte_array_unref(exchange->answer);
    }
    exchange->front->body_bytes -= exchange->counted_bytes;
    g_free(exchange->content_type);
    g_free(exchange->method);
    g_free(exchange->path);
    g_free(exchange->target);
    g_free(exchange);
}

static enum MHD_Result
take_upload(struct exchange *exchange, const char *bytes, size_t count)
{
    uint64_t needed = exchange->body->len + count;

    if (exchange->refused) {
        return MHD_YES;
    }
    /* Without an announced length the body is counted as it comes. */
    if (needed > exchange->front->settings.max_body_bytes ||
        (needed > exchange->counted_bytes &&
         !count_body(exchange, needed - exchange->counted_bytes))) {
        refuse(exchange, MHD_HTTP_CONTENT_TOO_LARGE,
               "the body is longer than this service takes", 0);
        return MHD_YES;
    }
    g_byte_array_append(exchange->body, (const guint8 *)bytes, (guint)count);
    return MHD_YES;
}

static enum MHD_Result
take_whole_request(struct exchange *exchange)
{
    struct front *front = exchange->front;

    if (exchange->refused) {
        return queue_response(exchange);
    }
    exchange->state = EXCHANGE_WAITING;
    front->open++;
    watch_hang_up(exchange);
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
          size_t *upload_bytes, void **exchange_place)
{
    struct exchange *exchange = *exchange_place;
    enum MHD_Result result;

    (void)version;
    if (exchange == NULL) {
        exchange = create_exchange(data, connection, url, method);
        *exchange_place = exchange;
        /* A refusal before the body spares reading it. */
        return admit_body(exchange) ? MHD_YES : queue_response(exchange);
    }
    if (*upload_bytes > 0) {
        result = take_upload(exchange, upload, *upload_bytes);
        *upload_bytes = 0;
        return result;
    }
    switch (exchange->state) {
    case EXCHANGE_READING:
        return take_whole_request(exchange);
    case EXCHANGE_ANSWERED:
        if (exchange->refused) {
            return queue_response(exchange);
        }
        /* fall through */
    case EXCHANGE_STREAMING:
    case EXCHANGE_STREAMED:
        return queue_response(exchange);
    default:
        return MHD_NO;
    }
}

static void
on_completed(void *data, struct MHD_Connection *connection,
             void **exchange_place, enum MHD_RequestTerminationCode code)
{
    struct front *front = data;
    struct exchange *exchange = *exchange_place;

    (void)connection;
    (void)code;
    if (exchange == NULL) {
        return;
    }
    *exchange_place = NULL;
    if (exchange->state != EXCHANGE_READING && !exchange->refused) {
        front->open--;
        front->handlers.closed(front->data, exchange);
    }
    free_exchange(exchange);
}

/* Paths and queries are passed on as the caller wrote them. */
static size_t
keep_escapes(void *data, struct MHD_Connection *connection, char *text)
{
    (void)data;
    (void)connection;
    return strlen(text);
}

static void
log_from_daemon(void *data, const char *format, va_list args)
{
    char *text = g_strdup_vprintf(format, args);

    (void)data;
    g_strchomp(text);
    LOG_DBG("libmicrohttpd says", "text=\"%s\"", text);
    g_free(text);
}

static void
run_daemon(struct front *front)
{
    unsigned long long timeout_ms;

    for (int i = 0; i < MAX_RUNS_A_ROUND; i++) {
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
    run_soon(front);
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
        MHD_OPTION_EXTERNAL_LOGGER, log_from_daemon, front,
        MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_UNESCAPE_CALLBACK, keep_escapes,
        NULL, MHD_OPTION_NOTIFY_COMPLETED, on_completed, front,
        MHD_OPTION_CONNECTION_LIMIT, front->settings.max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, front->settings.idle_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
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
    loop_timer_destroy(front->timer);
    g_free(front);
    return NULL;
}

void
front_stop_listening(struct front *front)
{
    MHD_socket fd = MHD_quiesce_daemon(front->daemon);

    if (fd != MHD_INVALID_SOCKET) {
        close(fd);
    }
}

uint32_t
front_open_exchanges(const struct front *front)
{
    return front->open;
}
