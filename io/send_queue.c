#include "io/send_queue.h"

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <sys/uio.h>

enum {
    /* Sent bytes are removed from the front of a queue that is not empty once
       there are so many of them, and more than half of the array. */
    MIN_REMOVED_BYTES = 16 * 1024,
    /* An array that was longer is freed when the queue is empty, since
       thousands of connections may be idle. */
    MAX_KEPT_BYTES = 16 * 1024,
};

struct send_queue {
    GByteArray *bytes;
    size_t sent_bytes;  /* of bytes */
    size_t peak_bytes;  /* greatest length of the array since its creation */
    GByteArray *shared; /* follow after bytes; NULL: none */
    size_t shared_sent_bytes;
    uint64_t taken_bytes;
};

struct send_queue *
send_queue_create(void)
{
    struct send_queue *queue = g_new0(struct send_queue, 1);

    queue->bytes = g_byte_array_new();
    return queue;
}

void
send_queue_destroy(struct send_queue *queue)
{
    if (queue == NULL) {
        return;
    }
    g_byte_array_unref(queue->bytes);
    if (queue->shared != NULL) {
        g_byte_array_unref(queue->shared);
    }
    g_free(queue);
}

GByteArray *
send_queue_tail(struct send_queue *queue)
{
    g_assert(queue->shared == NULL);
    return queue->bytes;
}

void
send_queue_add(struct send_queue *queue, const void *bytes, size_t count)
{
    g_byte_array_append(send_queue_tail(queue), bytes, (guint)count);
}

void
send_queue_add_shared(struct send_queue *queue, GByteArray *bytes)
{
    g_assert(queue->shared == NULL);
    if (bytes->len > 0) {
        queue->shared = g_byte_array_ref(bytes);
        queue->shared_sent_bytes = 0;
    }
}

size_t
send_queue_own_length(const struct send_queue *queue)
{
    return queue->bytes->len - queue->sent_bytes;
}

size_t
send_queue_length(const struct send_queue *queue)
{
    size_t shared = queue->shared != NULL
                        ? queue->shared->len - queue->shared_sent_bytes
                        : 0;

    return send_queue_own_length(queue) + shared;
}

uint64_t
send_queue_taken_bytes(const struct send_queue *queue)
{
    return queue->taken_bytes;
}

static void
remove_sent(struct send_queue *queue, size_t count)
{
    size_t own = MIN(count, send_queue_own_length(queue));

    queue->sent_bytes += own;
    if (queue->shared == NULL) {
        return;
    }
    queue->shared_sent_bytes += count - own;
    if (queue->shared_sent_bytes == queue->shared->len) {
        g_byte_array_unref(queue->shared);
        queue->shared = NULL;
    }
}

static void
release_memory(struct send_queue *queue)
{
    queue->peak_bytes = MAX(queue->peak_bytes, queue->bytes->len);
    if (send_queue_own_length(queue) == 0) {
        if (queue->peak_bytes > MAX_KEPT_BYTES) {
            g_byte_array_unref(queue->bytes);
            queue->bytes = g_byte_array_new();
            queue->peak_bytes = 0;
        }
        g_byte_array_set_size(queue->bytes, 0);
        queue->sent_bytes = 0;
    }
    else if (queue->sent_bytes >= MIN_REMOVED_BYTES &&
             queue->sent_bytes > queue->bytes->len / 2) {
        g_byte_array_remove_range(queue->bytes, 0, (guint)queue->sent_bytes);
        queue->sent_bytes = 0;
    }
}

/* Both parts go out in one write. */
static ssize_t
write_once(const struct send_queue *queue, int fd)
{
    struct iovec parts[2] = {
        {.iov_base = queue->bytes->data + queue->sent_bytes,
         .iov_len = send_queue_own_length(queue)}};
    struct msghdr message = {.msg_iov = parts, .msg_iovlen = 1};

    if (queue->shared != NULL) {
        parts[1].iov_base = queue->shared->data + queue->shared_sent_bytes;
        parts[1].iov_len = queue->shared->len - queue->shared_sent_bytes;
        message.msg_iovlen = 2;
    }
    return sendmsg(fd, &message, MSG_NOSIGNAL);
}

/* The system reports EPIPE if the peer's end has come before its reset. */
static enum send_queue_result
result_of_error(int error)
{
    switch (error) {
    case EAGAIN:
    case EINTR:
        return SEND_QUEUE_OK;
    case EPIPE:
        return SEND_QUEUE_PEER_ENDED;
    default:
        return SEND_QUEUE_BROKEN;
    }
}

enum send_queue_result
send_queue_write(struct send_queue *queue, int fd, size_t *sent)
{
    enum send_queue_result result = SEND_QUEUE_OK;

    *sent = 0;
    while (send_queue_length(queue) > 0) {
        ssize_t count = write_once(queue, fd);

        if (count < 0) {
            result = result_of_error(errno);
            break;
        }
        *sent += (size_t)count;
        remove_sent(queue, (size_t)count);
    }
    release_memory(queue);
    queue->taken_bytes += *sent;
    return result;
}
