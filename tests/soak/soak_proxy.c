#include "tests/soak/soak_proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"

enum {
    CHUNK_BYTES = 16 * 1024,
    /* Buffered in each direction before the proxy stops reading. */
    MAX_CHUNKS = 16,
    BACKLOG = 256,
    /* poll() may return at once for a held connection. The thread therefore
       sleeps so long between polls. */
    POLL_INTERVAL_US = 1000,
};

struct chunk {
    uint64_t due_ms;
    size_t offset;
    size_t count;
    char bytes[CHUNK_BYTES];
};

/* Bytes on their way from the source socket to the sink socket. */
struct direction {
    GQueue chunks;
    bool source_closed; /* end of file was read from the source */
    bool sink_shut;     /* the sink was shut down for writing */
};

struct connection {
    struct soak_proxy *proxy;
    int client_fd;
    int server_fd;
    struct direction to_server;
    struct direction from_server;
};

struct soak_proxy {
    struct soak_proxies *proxies;
    struct sockaddr_in target;
    int fd;
    _Atomic enum soak_proxy_mode mode;
    _Atomic uint32_t delay_ms;
    _Atomic bool reset_requested;
};

struct soak_proxies {
    GPtrArray *list;        /* struct soak_proxy */
    GPtrArray *connections; /* struct connection */
};

struct soak_proxies *
soak_proxies_create(void)
{
    struct soak_proxies *proxies = g_new0(struct soak_proxies, 1);

    proxies->list = g_ptr_array_new();
    proxies->connections = g_ptr_array_new();
    return proxies;
}

struct soak_proxy *
soak_proxy_add(struct soak_proxies *proxies, const char *ip, uint16_t port,
               uint16_t target_port)
{
    struct soak_proxy *proxy = g_new0(struct soak_proxy, 1);
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons(port)};
    int yes = 1;

    inet_pton(AF_INET, ip, &at.sin_addr);
    proxy->proxies = proxies;
    proxy->target = at;
    proxy->target.sin_port = htons(target_port);
    proxy->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(proxy->fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (bind(proxy->fd, (const struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(proxy->fd, BACKLOG) != 0) {
        fprintf(stderr, "can't listen on %s:%u: %s\n", ip, port,
                g_strerror(errno));
        exit(EXIT_FAILURE);
    }
    g_ptr_array_add(proxies->list, proxy);
    return proxy;
}

void
soak_proxy_set_mode(struct soak_proxy *proxy, enum soak_proxy_mode mode,
                    uint32_t delay_ms)
{
    atomic_store(&proxy->delay_ms, delay_ms);
    atomic_store(&proxy->mode, mode);
}

void
soak_proxy_reset(struct soak_proxy *proxy)
{
    atomic_store(&proxy->reset_requested, true);
}

/* Closes a socket with a TCP reset. */
static void
reset_socket(int fd)
{
    const struct linger at_once = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(fd);
}

static void
end_connection(struct connection *connection, bool reset)
{
    if (reset) {
        reset_socket(connection->client_fd);
        reset_socket(connection->server_fd);
    }
    else {
        close(connection->client_fd);
        close(connection->server_fd);
    }
    g_queue_clear_full(&connection->to_server.chunks, g_free);
    g_queue_clear_full(&connection->from_server.chunks, g_free);
    g_ptr_array_remove_fast(connection->proxy->proxies->connections,
                            connection);
    g_free(connection);
}

static void
accept_connection(struct soak_proxy *proxy)
{
    int client_fd =
        accept4(proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct connection *connection;
    int server_fd;

    if (client_fd < 0) {
        return;
    }
    server_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (atomic_load(&proxy->mode) == SOAK_PROXY_REFUSE ||
        (connect(server_fd, (const struct sockaddr *)&proxy->target,
                 sizeof(proxy->target)) != 0 &&
         errno != EINPROGRESS)) {
        reset_socket(client_fd);
        close(server_fd);
        return;
    }
    connection = g_new0(struct connection, 1);
    connection->proxy = proxy;
    connection->client_fd = client_fd;
    connection->server_fd = server_fd;
    g_queue_init(&connection->to_server.chunks);
    g_queue_init(&connection->from_server.chunks);
    g_ptr_array_add(proxy->proxies->connections, connection);
}

/* Returns false if the connection was reset. */
static bool
read_chunk(const struct connection *connection, struct direction *direction,
           int fd, uint64_t now_ms)
{
    const struct soak_proxy *proxy = connection->proxy;
    struct chunk *chunk = g_new(struct chunk, 1);
    ssize_t count = recv(fd, chunk->bytes, sizeof(chunk->bytes), 0);

    if (count <= 0) {
        g_free(chunk);
        direction->source_closed = count == 0;
        return count == 0 || errno == EAGAIN;
    }
    chunk->offset = 0;
    chunk->count = (size_t)count;
    chunk->due_ms = now_ms;
    if (atomic_load(&proxy->mode) == SOAK_PROXY_DELAY) {
        chunk->due_ms += atomic_load(&proxy->delay_ms);
    }
    g_queue_push_tail(&direction->chunks, chunk);
    return true;
}

/* Returns false if the connection is broken. */
static bool
write_chunks(struct direction *direction, int fd, uint64_t now_ms)
{
    struct chunk *chunk;

    while ((chunk = g_queue_peek_head(&direction->chunks)) != NULL &&
           chunk->due_ms <= now_ms) {
        ssize_t sent = send(fd, chunk->bytes + chunk->offset,
                            chunk->count - chunk->offset, MSG_NOSIGNAL);

        if (sent < 0) {
            return errno == EAGAIN;
        }
        chunk->offset += (size_t)sent;
        if (chunk->offset == chunk->count) {
            g_free(g_queue_pop_head(&direction->chunks));
        }
    }
    if (direction->source_closed && !direction->sink_shut &&
        g_queue_is_empty(&direction->chunks)) {
        direction->sink_shut = true;
        shutdown(fd, SHUT_WR);
    }
    return true;
}

static bool
is_held(const struct connection *connection, bool to_server)
{
    enum soak_proxy_mode mode = atomic_load(&connection->proxy->mode);

    return mode == SOAK_PROXY_HOLD_BOTH ||
           mode == (to_server ? SOAK_PROXY_HOLD_TO_SERVER
                              : SOAK_PROXY_HOLD_FROM_SERVER);
}

static short
poll_events(const struct connection *connection, const struct direction *reads,
            bool to_server)
{
    return !reads->source_closed && !is_held(connection, to_server) &&
                   reads->chunks.length < MAX_CHUNKS
               ? POLLIN
               : 0;
}

/* Returns false and sets *reset if the connection is broken, and has to be
   closed with a TCP reset. */
static bool
serve_direction(struct connection *connection, bool to_server, short events,
                uint64_t now_ms, bool *reset)
{
    struct direction *direction =
        to_server ? &connection->to_server : &connection->from_server;
    int source = to_server ? connection->client_fd : connection->server_fd;
    int sink = to_server ? connection->server_fd : connection->client_fd;

    if (is_held(connection, to_server)) {
        return true;
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 &&
        !direction->source_closed &&
        !read_chunk(connection, direction, source, now_ms)) {
        *reset = true;
        return false;
    }
    if (!write_chunks(direction, sink, now_ms)) {
        *reset = true;
        return false;
    }
    return true;
}

static void
serve_connection(struct connection *connection, const struct pollfd *items,
                 uint64_t now_ms)
{
    bool reset = false;

    if (!serve_direction(connection, true, items[0].revents, now_ms, &reset) ||
        !serve_direction(connection, false, items[1].revents, now_ms,
                         &reset)) {
        end_connection(connection, reset);
    }
    else if (connection->to_server.sink_shut &&
             connection->from_server.sink_shut) {
        end_connection(connection, false);
    }
}

static void
reset_connections(struct soak_proxies *proxies)
{
    for (guint i = 0; i < proxies->list->len; i++) {
        struct soak_proxy *proxy = g_ptr_array_index(proxies->list, i);

        if (!atomic_exchange(&proxy->reset_requested, false)) {
            continue;
        }
        for (guint j = proxies->connections->len; j > 0; j--) {
            struct connection *connection =
                g_ptr_array_index(proxies->connections, j - 1);

            if (connection->proxy == proxy) {
                end_connection(connection, true);
            }
        }
    }
}

static void
poll_all(struct soak_proxies *proxies, GArray *items)
{
    g_array_set_size(items, 0);
    for (guint i = 0; i < proxies->list->len; i++) {
        const struct soak_proxy *proxy = g_ptr_array_index(proxies->list, i);
        struct pollfd item = {.fd = proxy->fd, .events = POLLIN};

        g_array_append_val(items, item);
    }
    for (guint i = 0; i < proxies->connections->len; i++) {
        const struct connection *connection =
            g_ptr_array_index(proxies->connections, i);
        struct pollfd pair[] = {
            {.fd = connection->client_fd,
             .events = poll_events(connection, &connection->to_server, true)},
            {.fd = connection->server_fd,
             .events =
                 poll_events(connection, &connection->from_server, false)}};

        g_array_append_vals(items, pair, G_N_ELEMENTS(pair));
    }
    poll((struct pollfd *)(void *)items->data, items->len, 0);
    usleep(POLL_INTERVAL_US);
}

static void *
serve_proxies(void *data)
{
    struct soak_proxies *proxies = data;
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct pollfd));

    for (;;) {
        uint64_t now_ms;

        poll_all(proxies, items);
        now_ms = fake_clock_ms();
        /* Backwards: the last connection takes the index of one that is
           removed. */
        for (guint i = proxies->connections->len; i > 0; i--) {
            guint at = proxies->list->len + 2 * (i - 1);

            serve_connection(g_ptr_array_index(proxies->connections, i - 1),
                             &g_array_index(items, struct pollfd, at), now_ms);
        }
        for (guint i = 0; i < proxies->list->len; i++) {
            if (g_array_index(items, struct pollfd, i).revents != 0) {
                accept_connection(g_ptr_array_index(proxies->list, i));
            }
        }
        reset_connections(proxies);
    }
    return NULL;
}

void
soak_proxies_start(struct soak_proxies *proxies)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, serve_proxies, proxies) != 0) {
        g_error("can't start the proxies' thread");
    }
    pthread_detach(thread);
}
