#ifndef IO_SEND_QUEUE_H
#define IO_SEND_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes that wait until a socket takes them. Memory of bytes that were sent is
   given back, also while others still wait. Not thread-safe. */

struct send_queue;
struct _GByteArray;

enum send_queue_result {
    SEND_QUEUE_OK,
    /* The connection has failed after the peer's end was received. */
    SEND_QUEUE_PEER_ENDED,
    SEND_QUEUE_BROKEN, /* failed before that */
};

struct send_queue *send_queue_create(void);
void send_queue_destroy(struct send_queue *queue);

/* Copies bytes to the end of the queue. No shared bytes may wait. */
void send_queue_add(struct send_queue *queue, const void *bytes, size_t count);

/* The array to whose end bytes may be appended, in place of a copy. Valid
   until the next call. No shared bytes may wait. */
struct _GByteArray *send_queue_tail(struct send_queue *queue);

/* Puts bytes at the end without a copy. Holds a reference until they were
   sent; they must not change meanwhile. No shared bytes may wait already. */
void send_queue_add_shared(struct send_queue *queue,
                           struct _GByteArray *bytes);

/* Number of bytes that wait. */
size_t send_queue_length(const struct send_queue *queue);

/* Number of bytes that wait and that no other module owns. */
size_t send_queue_own_length(const struct send_queue *queue);

/* Number of bytes that sockets have taken since the creation. */
uint64_t send_queue_taken_bytes(const struct send_queue *queue);

/* Gives the socket as much as it takes. Sets *sent to the number of bytes that
   it took. The call takes the error of a failed connection: a read after it
   reports no more than the end. */
enum send_queue_result send_queue_write(struct send_queue *queue, int fd,
                                        size_t *sent);

#endif
