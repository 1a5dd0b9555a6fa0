#include "entry/lingering.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "lingering"

enum {
    /* For the caller to send the rest, and to read the response. */
    LINGER_MS = 2000,
    MAX_BYTES = 32 * 1024 * 1024,
    MAX_SOCKETS = 64,
    READ_BYTES = 64 * 1024,
    MAX_READS = 8, /* then other events of the loop are handled */
};

struct lingering_socket {
    struct lingering *lingering;
    int fd;
    uint64_t bytes; /* dropped so far */
    uint64_t until_ms;
};

struct lingering {
    struct loop *loop;
    struct loop_timer *timer;
    GQueue sockets; /* struct lingering_socket, oldest first */
};

static void
end(struct lingering_socket *socket)
{
    struct lingering *lingering = socket->lingering;

    g_queue_remove(&lingering->sockets, socket);
    loop_unwatch(lingering->loop, socket->fd);
    close(socket->fd);
    g_free(socket);
}

static void
on_readable(void *data, int fd, uint32_t events)
{
    static char bytes[READ_BYTES];
    struct lingering_socket *socket = data;

    (void)events;
    for (int i = 0; i < MAX_READS; i++) {
        ssize_t count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        socket->bytes += count > 0 ? (uint64_t)count : 0;
        if (count <= 0 || socket->bytes > MAX_BYTES) {
            end(socket);
            return;
        }
    }
}

static void
arm(struct lingering *lingering)
{
    const struct lingering_socket *oldest =
        g_queue_peek_head(&lingering->sockets);

    if (oldest != NULL) {
        loop_timer_arm(lingering->timer, oldest->until_ms);
    }
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct lingering *lingering = data;
    struct lingering_socket *oldest;

    while ((oldest = g_queue_peek_head(&lingering->sockets)) != NULL &&
           now_ms >= oldest->until_ms) {
        end(oldest);
    }
    arm(lingering);
}

struct lingering *
lingering_create(struct loop *loop)
{
    struct lingering *lingering = g_new0(struct lingering, 1);

    lingering->loop = loop;
    lingering->timer = loop_timer_create(loop, on_timer, lingering);
    g_queue_init(&lingering->sockets);
    return lingering;
}

void
lingering_destroy(struct lingering *lingering)
{
    if (lingering == NULL) {
        return;
    }
    while (!g_queue_is_empty(&lingering->sockets)) {
        end(g_queue_peek_head(&lingering->sockets));
    }
    loop_timer_destroy(lingering->timer);
    g_free(lingering);
}

void
lingering_add(struct lingering *lingering, int fd)
{
    struct lingering_socket *socket;
    int duplicate = fcntl(fd, F_DUPFD_CLOEXEC, 0);

    if (duplicate < 0) {
        LOG_WARN("a refused caller may not see the response", "error=\"%s\"",
                 g_strerror(errno));
        return;
    }
    if (g_queue_get_length(&lingering->sockets) >= MAX_SOCKETS) {
        end(g_queue_peek_head(&lingering->sockets));
    }
    socket = g_new0(struct lingering_socket, 1);
    socket->lingering = lingering;
    socket->fd = duplicate;
    socket->until_ms = loop_now_ms(lingering->loop) + LINGER_MS;
    g_queue_push_tail(&lingering->sockets, socket);
    if (!loop_watch(lingering->loop, duplicate, EPOLLIN, on_readable,
                    socket)) {
        end(socket);
        return;
    }
    arm(lingering);
}
