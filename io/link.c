#include "io/link.h"

#include "core/message.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/loop.h"
#include "io/send_queue.h"
#include "io/socket_options.h"

enum {
    READ_BYTES = 64 * 1024,
    LISTEN_BACKLOG = 1024,
    DEFAULT_MAX_QUEUED_BYTES = 64 * 1024 * 1024,
    FRAME_LENGTH_BYTES = 4,
    /* A peer that connects and sends no hello is disconnected. */
    HELLO_TIMEOUT_MS = 5000,
    /* Queued bytes that are taken to be part of a large message. */
    LARGE_BYTES = 64 * 1024,
    KEEPALIVE_IDLE_S = 5,
    KEEPALIVE_INTERVAL_S = 1,
    KEEPALIVE_PROBES = 3,
};

struct body_transfer {
    struct request_id id;
    uint32_t attempt;
    GBytes *body;
    size_t sent_bytes;
};

struct link {
    struct loop *loop;
    int fd;
    bool connecting;
    bool up;
    bool closed;
    uint32_t epoll_events;
    const char *why;
    GByteArray *in;
    struct send_queue *out;
    GQueue bodies; /* struct body_transfer, the next one to send first */
    struct loop_timer *down_timer;
    struct loop_timer *hello_timer;
    struct link_handlers handlers;
    void *data;
};

/* Of all links of the process, like the counters below. */
static size_t max_queued_bytes = DEFAULT_MAX_QUEUED_BYTES;
static size_t queued_bytes;

static uint64_t control_bytes;
static uint64_t data_bytes;

uint64_t
link_control_bytes(void)
{
    return control_bytes;
}

uint64_t
link_data_bytes(void)
{
    return data_bytes;
}

void
link_set_max_queued_bytes(size_t bytes)
{
    max_queued_bytes = bytes;
}

bool
link_takes_more(const struct link *link)
{
    return max_queued_bytes == DEFAULT_MAX_QUEUED_BYTES ||
           (queued_bytes < max_queued_bytes &&
            send_queue_length(link->out) < LARGE_BYTES);
}

size_t
link_queued_bytes(void)
{
    return queued_bytes;
}

static void
count_bytes(const struct message *message, size_t frame_bytes)
{
    data_bytes += message->data_bytes;
    control_bytes += frame_bytes - message->data_bytes;
}

static void
transfer_free(struct body_transfer *transfer)
{
    g_bytes_unref(transfer->body);
    g_free(transfer);
}

static void
on_hello_timeout(void *data, uint64_t now_ms)
{
    (void)now_ms;
    link_close(data, "no hello in time");
}

static void
report_down(void *data, uint64_t now_ms)
{
    struct link *link = data;

    (void)now_ms;
    link->handlers.down(link->data, link, link->why);
}

void
link_close(struct link *link, const char *why)
{
    struct body_transfer *transfer;

    if (link->closed) {
        return;
    }
    link->closed = true;
    link->up = false;
    link->why = why;
    loop_unwatch(link->loop, link->fd);
    close(link->fd);
    queued_bytes -= send_queue_length(link->out);
    while ((transfer = g_queue_pop_head(&link->bodies)) != NULL) {
        transfer_free(transfer);
    }
    loop_timer_disarm(link->hello_timer);
    loop_timer_arm(link->down_timer, 0);
}

void
link_destroy(struct link *link)
{
    if (link == NULL) {
        return;
    }
    link_close(link, "destroyed");
    loop_timer_destroy(link->down_timer);
    loop_timer_destroy(link->hello_timer);
    g_byte_array_unref(link->in);
    send_queue_destroy(link->out);
    g_free(link);
}

bool
link_is_up(const struct link *link)
{
    return link->up;
}

static void
send_body_chunk(struct link *link)
{
    struct body_transfer *transfer = g_queue_pop_head(&link->bodies);
    struct message part = {.type = MESSAGE_BODY};
    gsize total;
    const uint8_t *bytes = g_bytes_get_data(transfer->body, &total);

    part.id = transfer->id;
    part.attempt = transfer->attempt;
    part.offset = transfer->sent_bytes;
    part.data = bytes + transfer->sent_bytes;
    part.data_bytes =
        MIN((size_t)LINK_BODY_CHUNK_BYTES, total - transfer->sent_bytes);
    link_send(link, &part);
    transfer->sent_bytes += part.data_bytes;
    if (transfer->sent_bytes == total) {
        transfer_free(transfer);
        return;
    }
    g_queue_push_tail(&link->bodies, transfer);
}

static void
update_events(struct link *link, bool writable)
{
    uint32_t events = EPOLLIN | (writable ? EPOLLOUT : 0);

    if (link->epoll_events != events) {
        link->epoll_events = events;
        loop_update_watch(link->loop, link->fd, events);
    }
}

static void
flush_queues(struct link *link)
{
    if (link->closed || link->connecting) {
        return;
    }
    for (;;) {
        size_t sent;
        bool ok =
            send_queue_write(link->out, link->fd, &sent) == SEND_QUEUE_OK;

        queued_bytes -= sent;
        if (!ok) {
            link_close(link, "connection lost");
            return;
        }
        if (send_queue_length(link->out) > 0 ||
            g_queue_is_empty(&link->bodies)) {
            break;
        }
        send_body_chunk(link);
    }
    update_events(link, send_queue_length(link->out) > 0);
}

void
link_send(struct link *link, const struct message *message)
{
    size_t before = send_queue_length(link->out);

    if (link->closed) {
        return;
    }
    if (before > max_queued_bytes) {
        link_close(link, "peer does not read");
        return;
    }
    message_encode(message, send_queue_tail(link->out));
    before = send_queue_length(link->out) - before;
    queued_bytes += before;
    count_bytes(message, before);
    /* Messages are written when epoll reports the socket as writable, so that
       all messages of one loop iteration go out in one write. */
    if (!link->connecting) {
        update_events(link, true);
    }
}

void
link_send_body(struct link *link, struct request_id id, uint32_t attempt,
               GBytes *body)
{
    struct body_transfer *transfer;

    if (link->closed || g_bytes_get_size(body) == 0) {
        return;
    }
    transfer = g_new0(struct body_transfer, 1);
    transfer->id = id;
    transfer->attempt = attempt;
    transfer->body = g_bytes_ref(body);
    g_queue_push_tail(&link->bodies, transfer);
    if (!link->connecting) {
        update_events(link, true);
    }
}

void
link_cancel_body(struct link *link, struct request_id id)
{
    for (GList *at = link->bodies.head; at != NULL; at = at->next) {
        struct body_transfer *transfer = at->data;

        if (request_id_equal(transfer->id, id)) {
            g_queue_delete_link(&link->bodies, at);
            transfer_free(transfer);
            return;
        }
    }
}

static void
handle_message(struct link *link, const struct message *message)
{
    if (link->up) {
        if (message->type == MESSAGE_HELLO) {
            link_close(link, "second hello");
            return;
        }
        link->handlers.message(link->data, link, message);
        return;
    }
    if (message->type != MESSAGE_HELLO) {
        link_close(link, "first message is not a hello");
    }
    else if (message->version != MESSAGE_VERSION) {
        link_close(link, "version mismatch");
    }
    else {
        link->up = true;
        loop_timer_disarm(link->hello_timer);
        link->handlers.up(link->data, link, message);
    }
}

/* Returns the number of bytes consumed, 0 if the frame is incomplete or
   invalid. An invalid frame closes the link. */
static size_t
handle_frame(struct link *link, const uint8_t *bytes, size_t available)
{
    uint32_t length;
    struct message message;
    const char *why;

    if (available < FRAME_LENGTH_BYTES) {
        return 0;
    }
    memcpy(&length, bytes, sizeof(length));
    length = GUINT32_FROM_BE(length);
    if (length > LINK_MAX_FRAME_BYTES) {
        link_close(link, "frame too long");
        return 0;
    }
    if (available < FRAME_LENGTH_BYTES + (size_t)length) {
        return 0;
    }
    if (!message_decode(bytes + FRAME_LENGTH_BYTES, length, &message, &why)) {
        link_close(link, why);
        return 0;
    }
    count_bytes(&message, FRAME_LENGTH_BYTES + (size_t)length);
    handle_message(link, &message);
    return FRAME_LENGTH_BYTES + (size_t)length;
}

static void
handle_frames(struct link *link)
{
    size_t used = 0;

    while (!link->closed) {
        size_t count =
            handle_frame(link, link->in->data + used, link->in->len - used);

        if (count == 0) {
            break;
        }
        used += count;
    }
    if (used == link->in->len && used > READ_BYTES) {
        /* Each peer may have sent a large frame once. */
        g_byte_array_unref(link->in);
        link->in = g_byte_array_new();
    }
    else if (used > 0) {
        g_byte_array_remove_range(link->in, 0, (guint)used);
    }
}

static void
receive_frames(struct link *link)
{
    guint before = link->in->len;
    ssize_t count;

    g_byte_array_set_size(link->in, before + READ_BYTES);
    count = recv(link->fd, link->in->data + before, READ_BYTES, 0);
    g_byte_array_set_size(link->in, before + (guint)MAX(count, 0));
    if (count == 0) {
        link_close(link, "closed by the peer");
        return;
    }
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            link_close(link, "connection lost");
        }
        return;
    }
    handle_frames(link);
}

static void
finish_connect(struct link *link)
{
    int error = 0;
    socklen_t length = sizeof(error);

    getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        link_close(link, "can't connect");
        return;
    }
    link->connecting = false;
}

static void
on_socket_event(void *data, int fd, uint32_t events)
{
    struct link *link = data;

    (void)fd;
    if (link->connecting) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) {
            return;
        }
        finish_connect(link);
    }
    if (!link->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        receive_frames(link);
    }
    if (!link->closed && (events & EPOLLOUT) != 0) {
        flush_queues(link);
    }
}

static struct link *
link_new(struct loop *loop, int fd, bool connecting,
         const struct link_identity *identity,
         const struct link_handlers *handlers, void *data)
{
    struct link *link = g_new0(struct link, 1);
    struct message hello = {.type = MESSAGE_HELLO, .version = MESSAGE_VERSION};

    socket_send_at_once(fd);
    /* Keepalive probes detect a peer whose machine has failed or is cut off
       without closing the connection. */
    socket_probe_idle(fd, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S,
                      KEEPALIVE_PROBES);
    link->loop = loop;
    link->fd = fd;
    link->connecting = connecting;
    link->in = g_byte_array_new();
    link->out = send_queue_create();
    link->handlers = *handlers;
    link->data = data;
    link->down_timer = loop_timer_create(loop, report_down, link);
    link->hello_timer = loop_timer_create(loop, on_hello_timeout, link);
    loop_timer_arm(link->hello_timer, loop_now_ms(loop) + HELLO_TIMEOUT_MS);
    g_queue_init(&link->bodies);
    link->epoll_events = EPOLLIN | EPOLLOUT;
    if (!loop_watch(loop, fd, link->epoll_events, on_socket_event, link)) {
        link_close(link, "can't watch the socket");
        return link;
    }
    g_strlcpy(hello.instance, identity->instance, sizeof(hello.instance));
    g_strlcpy(hello.data_centre, identity->data_centre,
              sizeof(hello.data_centre));
    hello.incarnation = identity->incarnation;
    hello.generation = identity->generation;
    link_send(link, &hello);
    return link;
}

struct link *
link_accept(struct loop *loop, int fd, const struct link_identity *identity,
            const struct link_handlers *handlers, void *data)
{
    return link_new(loop, fd, false, identity, handlers, data);
}

static bool
fill_address(const char *address, uint16_t port, struct sockaddr_in *out)
{
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons(port);
    return inet_pton(AF_INET, address, &out->sin_addr) == 1;
}

struct link *
link_connect(struct loop *loop, const char *address, uint16_t port,
             const struct link_identity *identity,
             const struct link_handlers *handlers, void *data)
{
    int fd = socket_connect(address, port, 0);

    if (fd < 0) {
        return NULL;
    }
    return link_new(loop, fd, true, identity, handlers, data);
}

int
link_listen(const char *address, uint16_t port)
{
    struct sockaddr_in at;
    int fd;
    int on = 1;

    if (!fill_address(address, port, &at)) {
        errno = EINVAL;
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
        listen(fd, LISTEN_BACKLOG) < 0) {
        int error = errno;

        close(fd);
        errno = error;
        return -1;
    }
    return fd;
}
