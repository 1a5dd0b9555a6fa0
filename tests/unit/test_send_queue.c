/* Tests the queue of bytes that wait for a socket: the memory of sent bytes,
   bytes that are shared with other modules, and what a failed write tells. */

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/send_queue.h"

enum {
    PART_BYTES = 4096,
    ROUNDS = 2000,
};

static void
open_pair(int fds[2])
{
    int buffer_bytes = 4 * PART_BYTES;

    g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
                    ==, 0);
    setsockopt(fds[0], SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
               sizeof(buffer_bytes));
}

static void
write_queue(struct send_queue *queue, int fd)
{
    size_t sent;

    g_assert_cmpint(send_queue_write(queue, fd, &sent), ==, SEND_QUEUE_OK);
}

static void
receive(int fd, GString *received, size_t max)
{
    char bytes[PART_BYTES];
    ssize_t count = recv(fd, bytes, MIN(max, sizeof(bytes)), 0);

    if (count > 0) {
        g_string_append_len(received, bytes, count);
    }
}

/* A reader that takes as much as arrives, and never all, must not make the
   queue grow: sent bytes used to stay until the queue was empty. */
static void
test_never_empty(void)
{
    struct send_queue *queue = send_queue_create();
    GString *received = g_string_new(NULL);
    char part[PART_BYTES];
    size_t ahead;
    int fds[2];

    open_pair(fds);
    memset(part, 'x', sizeof(part));
    do {
        send_queue_add(queue, part, sizeof(part));
        write_queue(queue, fds[0]);
        ahead = send_queue_length(queue);
    } while (ahead < (size_t)4 * PART_BYTES);
    for (int i = 0; i < ROUNDS; i++) {
        send_queue_add(queue, part, sizeof(part));
        receive(fds[1], received, sizeof(part));
        write_queue(queue, fds[0]);
        g_assert_cmpuint(send_queue_length(queue), >, 0);
    }
    g_assert_cmpuint(send_queue_tail(queue)->len, <, (guint64)32 * PART_BYTES);
    send_queue_destroy(queue);
    g_string_free(received, TRUE);
    close(fds[0]);
    close(fds[1]);
}

/* Shared bytes arrive after the queue's own, whole, and their reference is
   given back once they are sent. */
static void
test_shared(void)
{
    struct send_queue *queue = send_queue_create();
    GString *received = g_string_new(NULL);
    GByteArray *body = g_byte_array_new();
    size_t total = (size_t)64 * PART_BYTES;
    int fds[2];

    open_pair(fds);
    g_byte_array_set_size(body, (guint)total);
    memset(body->data, 'b', total);
    send_queue_add(queue, "head", 4);
    send_queue_add_shared(queue, body);
    g_byte_array_unref(body);
    g_assert_cmpuint(send_queue_length(queue), ==, 4 + total);
    g_assert_cmpuint(send_queue_own_length(queue), ==, 4);
    while (received->len < 4 + total) {
        write_queue(queue, fds[0]);
        receive(fds[1], received, PART_BYTES);
    }
    g_assert_cmpuint(send_queue_length(queue), ==, 0);
    g_assert_true(g_str_has_prefix(received->str, "headbbb"));
    g_assert_cmpuint(strspn(received->str + 4, "b"), ==, total);
    send_queue_add(queue, "next", 4);
    write_queue(queue, fds[0]);
    receive(fds[1], received, PART_BYTES);
    g_assert_true(g_str_has_suffix(received->str, "bnext"));
    send_queue_destroy(queue);
    g_string_free(received, TRUE);
    close(fds[0]);
    close(fds[1]);
}

/* fds[0] is connected to fds[1]. */
static void
open_tcp_pair(int fds[2])
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    g_assert_cmpint(bind(listener, (const struct sockaddr *)&address, size),
                    ==, 0);
    g_assert_cmpint(listen(listener, 1), ==, 0);
    g_assert_cmpint(getsockname(listener, (struct sockaddr *)&address, &size),
                    ==, 0);
    fds[0] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(fds[0], (const struct sockaddr *)&address, size),
                    ==, 0);
    fds[1] = accept(listener, NULL, NULL);
    close(listener);
}

/* Returns what the first write after the peer's reset tells. */
static enum send_queue_result
write_after_reset(bool peer_has_ended)
{
    const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
    struct send_queue *queue = send_queue_create();
    struct pollfd poll_fd = {.events = 0};
    enum send_queue_result result;
    size_t sent;
    int fds[2];

    open_tcp_pair(fds);
    if (peer_has_ended) {
        shutdown(fds[1], SHUT_WR);
    }
    setsockopt(fds[1], SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    close(fds[1]);
    poll_fd.fd = fds[0];
    g_assert_cmpint(poll(&poll_fd, 1, -1), ==, 1);
    send_queue_add(queue, "late", 4);
    result = send_queue_write(queue, fds[0], &sent);
    g_assert_cmpuint(sent, ==, 0);
    send_queue_destroy(queue);
    close(fds[0]);
    return result;
}

/* Guards against a reset that is taken for the end of a response, and against
   an end that is taken for a reset since one came after it. */
static void
test_failed_write(void)
{
    g_assert_cmpint(write_after_reset(false), ==, SEND_QUEUE_BROKEN);
    g_assert_cmpint(write_after_reset(true), ==, SEND_QUEUE_PEER_ENDED);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/send-queue/never-empty", test_never_empty);
    g_test_add_func("/send-queue/shared", test_shared);
    g_test_add_func("/send-queue/failed-write", test_failed_write);
    return g_test_run();
}
