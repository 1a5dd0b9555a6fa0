#include "io/http_connection.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/loop.h"
#include "io/message_parser.h"
#include "io/peer_watch.h"
#include "io/send_queue.h"
#include "io/socket_options.h"

enum {
    READ_BYTES = 32 * 1024,
    /* Limit of buffered requests that arrive while an earlier one is being
       processed; beyond it, reading stops. */
    MAX_PIPELINED_BYTES = 64 * 1024,
    /* TCP_USER_TIMEOUT, where it has to serve, takes the place of the number:
       the connection fails at the second probe as well. */
    KEEPALIVE_PROBES = 1,
    KEEPALIVE_PROBES_WITH_TIMEOUT = 2,
};

struct http_connection {
    struct loop *loop;
    int fd;
    bool server;
    bool connecting;
    bool ended;     /* nothing more is received; ended was reported */
    bool finishing; /* the end is due after the queue, or was sent */
    bool end_sent;
    bool destroyed; /* freed by deferred_timer */
    bool paused;
    bool flush_due; /* flush() is deferred until the present handler returns */
    bool awaiting_next; /* message complete; http_connection_next() is due */
    bool broken;        /* a write has failed before the peer's end came */
    bool has_extra;     /* client: bytes have arrived beyond a response */
    uint32_t epoll_events;
    struct http_connection_settings settings;
    struct http_connection_handlers handlers;
    void *data;
    struct message_parser *parser;
    GByteArray *pipelined;
    struct send_queue *out;
    struct peer_watch *peer;
    struct loop_timer *deferred_timer;
};

static atomic_uint open_count;

static void update_events(struct http_connection *conn);

uint32_t
http_connection_open_count(void)
{
    return atomic_load(&open_count);
}

const char *
http_connection_end_text(enum http_connection_end end)
{
    switch (end) {
    case HTTP_CONNECTION_CLOSED:
        return "closed by the peer";
    case HTTP_CONNECTION_RESET:
        return "connection broken";
    case HTTP_CONNECTION_CONNECT_FAILED:
        return "no connection";
    case HTTP_CONNECTION_BAD_MESSAGE:
        return "not an HTTP answer";
    case HTTP_CONNECTION_HEAD_TOO_BIG:
        return "head too big";
    case HTTP_CONNECTION_UNEXPECTED_BYTES:
        return "bytes beyond the answer";
    case HTTP_CONNECTION_STALLED:
        return "the peer takes nothing";
    case HTTP_CONNECTION_SILENT:
        return "the peer answers no packet";
    }
    return "";
}

static void
free_connection(struct http_connection *conn)
{
    loop_timer_destroy(conn->deferred_timer);
    message_parser_destroy(conn->parser);
    g_byte_array_unref(conn->pipelined);
    peer_watch_destroy(conn->peer);
    send_queue_destroy(conn->out);
    g_free(conn);
}

static void
close_socket(struct http_connection *conn)
{
    if (conn->fd >= 0) {
        loop_unwatch(conn->loop, conn->fd);
        close(conn->fd);
        conn->fd = -1;
        atomic_fetch_sub(&open_count, 1);
    }
    peer_watch_destroy(conn->peer);
    conn->peer = NULL;
}

void
http_connection_destroy(struct http_connection *conn)
{
    if (conn == NULL || conn->destroyed) {
        return;
    }
    close_socket(conn);
    conn->destroyed = true;
    /* A handler of this connection may call this, so it is freed later. */
    loop_timer_arm(conn->deferred_timer, loop_now_ms(conn->loop));
}

static void
report_end(struct http_connection *conn, enum http_connection_end end)
{
    if (conn->ended || conn->destroyed) {
        return;
    }
    conn->ended = true;
    update_events(conn);
    conn->handlers.ended(conn->data, end);
}

static void
report_taken(struct http_connection *conn)
{
    if (!conn->destroyed && conn->handlers.taken != NULL) {
        conn->handlers.taken(conn->data);
    }
}

/* Nothing more can be sent. */
static void
report_failure(struct http_connection *conn, enum http_connection_end end)
{
    if (!conn->ended) {
        report_end(conn, end);
        return;
    }
    close_socket(conn);
    report_taken(conn);
}

static void
on_peer_report(void *data, enum peer_state state)
{
    struct http_connection *conn = data;

    switch (state) {
    case PEER_STALLED:
        report_failure(conn, HTTP_CONNECTION_STALLED);
        break;
    case PEER_SILENT:
        report_failure(conn, HTTP_CONNECTION_SILENT);
        break;
    default:
        report_taken(conn);
    }
}

/* Handlers of the parser. */

static bool
on_begun(void *data)
{
    struct http_connection *conn = data;

    if (conn->handlers.begun != NULL) {
        conn->handlers.begun(conn->data);
    }
    return !conn->destroyed;
}

static bool
on_head(void *data, const struct http_head *head)
{
    struct http_connection *conn = data;

    conn->handlers.head(conn->data, head);
    return !conn->destroyed;
}

static bool
on_body(void *data, const uint8_t *bytes, size_t count)
{
    struct http_connection *conn = data;

    conn->handlers.body(conn->data, bytes, count);
    return !conn->destroyed;
}

static const struct message_parser_handlers parser_handlers = {
    on_begun, on_head, on_body};

static void
buffer_pipelined(struct http_connection *conn, const uint8_t *bytes,
                 size_t count)
{
    if (count > 0) {
        g_byte_array_append(conn->pipelined, bytes, (guint)count);
        update_events(conn);
    }
}

static void
handle_complete(struct http_connection *conn, const uint8_t *rest,
                size_t count)
{
    conn->awaiting_next = true;
    if (conn->server) {
        buffer_pipelined(conn, rest, count);
    }
    conn->has_extra = !conn->server && count > 0;
    conn->handlers.complete(conn->data);
    if (conn->has_extra && !conn->destroyed) {
        report_end(conn, HTTP_CONNECTION_UNEXPECTED_BYTES);
    }
}

/* rest: bytes that follow a complete message. */
static void
handle_result(struct http_connection *conn, enum message_parser_result result,
              const uint8_t *rest, size_t count)
{
    switch (result) {
    case MESSAGE_PARSER_COMPLETE:
        handle_complete(conn, rest, count);
        return;
    case MESSAGE_PARSER_INVALID:
        report_end(conn, HTTP_CONNECTION_BAD_MESSAGE);
        return;
    case MESSAGE_PARSER_TOO_LONG:
        report_end(conn, HTTP_CONNECTION_HEAD_TOO_BIG);
        return;
    case MESSAGE_PARSER_MORE:
    case MESSAGE_PARSER_STOPPED:
        return;
    }
}

/* Parses received bytes. Bytes after a complete request are buffered. */
static void
parse(struct http_connection *conn, const uint8_t *bytes, size_t count)
{
    size_t parsed = 0;
    enum message_parser_result result =
        message_parser_parse(conn->parser, bytes, count, &parsed);

    handle_result(conn, result, bytes + parsed, count - parsed);
}

static void
handle_bytes(struct http_connection *conn, const uint8_t *bytes, size_t count)
{
    if (conn->finishing) {
        return;
    }
    if (!conn->awaiting_next) {
        parse(conn, bytes, count);
        return;
    }
    if (!conn->server) {
        report_end(conn, HTTP_CONNECTION_UNEXPECTED_BYTES);
        return;
    }
    buffer_pipelined(conn, bytes, count);
}

static void
handle_peer_close(struct http_connection *conn)
{
    if (conn->broken) {
        report_end(conn, HTTP_CONNECTION_RESET);
        return;
    }
    if (!conn->awaiting_next && !conn->server) {
        /* The end of the connection ends a response without a length. */
        handle_result(conn, message_parser_end(conn->parser), NULL, 0);
        if (conn->destroyed || conn->awaiting_next) {
            return;
        }
    }
    report_end(conn, HTTP_CONNECTION_CLOSED);
}

static void
receive_bytes(struct http_connection *conn)
{
    uint8_t bytes[READ_BYTES];
    ssize_t count = recv(conn->fd, bytes, sizeof(bytes), 0);

    if (count > 0) {
        handle_bytes(conn, bytes, (size_t)count);
    }
    else if (count == 0) {
        handle_peer_close(conn);
    }
    else if (errno != EAGAIN && errno != EINTR) {
        report_end(conn, HTTP_CONNECTION_RESET);
    }
}

static void
send_end(struct http_connection *conn)
{
    conn->end_sent = true;
    if (!socket_send_end(conn->fd)) {
        loop_timer_arm(conn->deferred_timer, loop_now_ms(conn->loop));
        return;
    }
    peer_watch_finish(conn->peer);
}

static void
send_queued(struct http_connection *conn)
{
    size_t sent;
    enum send_queue_result result =
        send_queue_write(conn->out, conn->fd, &sent);

    if (result != SEND_QUEUE_OK) {
        conn->broken |= result == SEND_QUEUE_BROKEN;
        /* Reported later, not from within a call of the owner. */
        loop_timer_arm(conn->deferred_timer, loop_now_ms(conn->loop));
    }
    update_events(conn);
    if (sent == 0 || send_queue_length(conn->out) > 0) {
        return;
    }
    if (conn->finishing) {
        send_end(conn);
    }
    else if (conn->handlers.all_sent != NULL) {
        conn->handlers.all_sent(conn->data);
    }
}

static void
complete_connect(struct http_connection *conn)
{
    int error = 0;
    socklen_t length = sizeof(error);

    if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
        error != 0) {
        report_end(conn, HTTP_CONNECTION_CONNECT_FAILED);
        return;
    }
    conn->connecting = false;
    if (conn->handlers.opened != NULL) {
        conn->handlers.opened(conn->data);
    }
}

static void
on_socket_event(void *data, int fd, uint32_t events)
{
    struct http_connection *conn = data;

    (void)fd;
    if (conn->ended && conn->end_sent && (events & EPOLLERR) == 0) {
        /* Both sides have sent their end, which epoll reports again and again.
           The peer may still have bytes to take. */
        loop_unwatch(conn->loop, conn->fd);
        return;
    }
    if (conn->ended && (events & (EPOLLHUP | EPOLLERR)) != 0) {
        report_failure(conn, HTTP_CONNECTION_RESET);
        return;
    }
    if (conn->connecting) {
        complete_connect(conn);
    }
    /* What was queued is sent after the end of receiving, too. */
    if (!conn->destroyed && !conn->connecting && (events & EPOLLOUT) != 0) {
        send_queued(conn);
    }
    if (!conn->destroyed && !conn->ended && !conn->connecting &&
        (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        receive_bytes(conn);
    }
    update_events(conn);
}

static void
update_events(struct http_connection *conn)
{
    uint32_t events = 0;

    if (conn->fd < 0 || conn->destroyed) {
        return;
    }
    if (conn->connecting ||
        (send_queue_length(conn->out) > 0 && !conn->flush_due)) {
        events |= EPOLLOUT;
    }
    if (!conn->connecting && !conn->paused && !conn->ended &&
        conn->pipelined->len < MAX_PIPELINED_BYTES) {
        events |= EPOLLIN;
    }
    if (events != conn->epoll_events) {
        conn->epoll_events = events;
        loop_update_watch(conn->loop, conn->fd, events);
    }
}

/* Fires for a destroyed connection and for a failed write. */
static void
on_deferred_timer(void *data, uint64_t now_ms)
{
    struct http_connection *conn = data;

    (void)now_ms;
    if (conn->destroyed) {
        free_connection(conn);
        return;
    }
    report_failure(conn, HTTP_CONNECTION_RESET);
}

static void
watch_peer(struct http_connection *conn)
{
    const struct peer_watch_settings settings = {.fd = conn->fd,
                                                 .limits = conn->settings.peer,
                                                 .spares_readers =
                                                     conn->server,
                                                 .report = on_peer_report,
                                                 .data = conn};

    conn->peer = peer_watch_create(conn->loop, conn->out, &settings);
}

static void
set_socket_options(const struct http_connection *conn)
{
    const struct http_connection_settings *settings = &conn->settings;

    socket_send_at_once(conn->fd);
    if (settings->keepalive_s > 0) {
        socket_probe_idle(
            conn->fd, settings->keepalive_s, settings->keepalive_s,
            peer_watch_is_told(conn->peer) ? KEEPALIVE_PROBES
                                           : KEEPALIVE_PROBES_WITH_TIMEOUT);
    }
    if (settings->max_unsent_bytes > 0) {
        socket_limit_unsent(conn->fd, settings->max_unsent_bytes);
    }
}

static struct http_connection *
create_connection(struct loop *loop, int fd, bool server,
                  const struct http_connection_settings *settings,
                  const struct http_connection_handlers *handlers, void *data)
{
    struct http_connection *conn = g_new0(struct http_connection, 1);

    conn->loop = loop;
    conn->fd = fd;
    conn->server = server;
    conn->connecting = !server;
    conn->settings = *settings;
    conn->handlers = *handlers;
    conn->data = data;
    conn->parser = message_parser_create(!server, settings->max_head_bytes,
                                         &parser_handlers, conn);
    conn->pipelined = g_byte_array_new();
    conn->out = send_queue_create();
    conn->deferred_timer = loop_timer_create(loop, on_deferred_timer, conn);
    conn->epoll_events = server ? EPOLLIN : EPOLLOUT;
    watch_peer(conn);
    set_socket_options(conn);
    if (!loop_watch(loop, fd, conn->epoll_events, on_socket_event, conn)) {
        close(fd);
        free_connection(conn);
        return NULL;
    }
    atomic_fetch_add(&open_count, 1);
    return conn;
}

struct http_connection *
http_connection_accept(struct loop *loop, int fd,
                       const struct http_connection_settings *settings,
                       const struct http_connection_handlers *handlers,
                       void *data)
{
    return create_connection(loop, fd, true, settings, handlers, data);
}

struct http_connection *
http_connection_connect(struct loop *loop, const char *ip, uint16_t port,
                        const struct http_connection_settings *settings,
                        const struct http_connection_handlers *handlers,
                        void *data)
{
    int fd = socket_connect(ip, port, settings->receive_buffer_bytes);

    if (fd < 0) {
        return NULL;
    }
    return create_connection(loop, fd, false, settings, handlers, data);
}

static void
flush(void *data, uint64_t now_ms)
{
    struct http_connection *conn = data;

    (void)now_ms;
    conn->flush_due = false;
    /* A destroyed connection is freed later, from a timer. */
    if (!conn->destroyed && conn->fd >= 0) {
        send_queued(conn);
    }
}

/* What one handler sends leaves in one write: each write is a packet of its
   own, and each packet may be lost. */
static void
flush_later(struct http_connection *conn)
{
    peer_watch_sent(conn->peer);
    if (!conn->connecting && !conn->flush_due &&
        (conn->epoll_events & EPOLLOUT) == 0) {
        conn->flush_due = true;
        loop_defer(conn->loop, flush, conn);
    }
    update_events(conn);
}

void
http_connection_send(struct http_connection *conn, const void *bytes,
                     size_t count)
{
    if (conn->fd >= 0 && count > 0) {
        send_queue_add(conn->out, bytes, count);
        flush_later(conn);
    }
}

void
http_connection_send_shared(struct http_connection *conn, GByteArray *bytes)
{
    if (conn->fd >= 0 && bytes->len > 0) {
        send_queue_add_shared(conn->out, bytes);
        flush_later(conn);
    }
}

size_t
http_connection_queued_bytes(const struct http_connection *conn)
{
    return send_queue_length(conn->out);
}

size_t
http_connection_held_bytes(const struct http_connection *conn)
{
    return send_queue_own_length(conn->out) + conn->pipelined->len;
}

bool
http_connection_is_taken(const struct http_connection *conn)
{
    return conn->peer == NULL || peer_watch_is_taken(conn->peer);
}

uint64_t
http_connection_pause_ms(const struct http_connection *conn)
{
    return conn->peer != NULL ? peer_watch_pause_ms(conn->peer) : 0;
}

size_t
http_connection_kernel_bytes(const struct http_connection *conn)
{
    return conn->fd >= 0 ? socket_kernel_bytes(conn->fd) : 0;
}

void
http_connection_next(struct http_connection *conn, bool head_only)
{
    GByteArray *ahead;

    conn->awaiting_next = false;
    message_parser_set_head_only(conn->parser, head_only);
    if (conn->pipelined->len == 0 || conn->ended) {
        return;
    }
    ahead = conn->pipelined;
    conn->pipelined = g_byte_array_new();
    parse(conn, ahead->data, ahead->len);
    g_byte_array_unref(ahead);
    update_events(conn);
}

void
http_connection_pause(struct http_connection *conn, bool paused)
{
    conn->paused = paused;
    update_events(conn);
}

bool
http_connection_is_stale(const struct http_connection *conn)
{
    uint8_t byte;
    ssize_t count;

    if (conn->fd < 0 || conn->ended || conn->has_extra) {
        return true;
    }
    count = recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || errno != EAGAIN;
}

void
http_connection_finish(struct http_connection *conn)
{
    conn->finishing = true;
    conn->paused = false;
    g_byte_array_set_size(conn->pipelined, 0);
    update_events(conn);
    if (conn->fd < 0) {
        conn->ended = true;
        loop_timer_arm(conn->deferred_timer, loop_now_ms(conn->loop));
    }
    else if (send_queue_length(conn->out) == 0 && !conn->end_sent) {
        send_end(conn);
    }
}
