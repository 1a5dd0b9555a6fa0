#ifndef IO_PEER_WATCH_H
#define IO_PEER_WATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/peer_progress.h"

/* Asks the system from time to time whether the peer of a connection takes
   what is sent to it, while it has not taken all, and reports by the rules of
   core/peer_progress.h. On a system that does not say, what it has accepted
   counts as taken, and TCP_USER_TIMEOUT limits silence. Loop thread only. */

struct loop;
struct peer_watch;
struct send_queue;

struct peer_watch_settings {
    int fd;
    struct peer_limits limits;
    /* TCP_USER_TIMEOUT also resets a peer that takes little by little. If it
       has to serve, it is lifted while the system accepts nothing more. */
    bool spares_readers;
    /* The peer has taken all, or is to be given up. Never called from within
       peer_watch_sent(). */
    void (*report)(void *data, enum peer_state state);
    void *data;
};

/* The queue is borrowed. */
struct peer_watch *peer_watch_create(struct loop *loop,
                                     const struct send_queue *queue,
                                     const struct peer_watch_settings *given);
/* NULL is allowed. */
void peer_watch_destroy(struct peer_watch *watch);

/* Whether the system says what the peer has acknowledged. */
bool peer_watch_is_told(const struct peer_watch *watch);

/* Something was added to the queue. */
void peer_watch_sent(struct peer_watch *watch);

/* The end of the connection is sent: whether it was taken is asked soon. */
void peer_watch_finish(struct peer_watch *watch);

/* Whether the peer has taken all; a system call unless that is known. */
bool peer_watch_is_taken(struct peer_watch *watch);

/* How long the peer had taken nothing at the last question. */
uint64_t peer_watch_pause_ms(const struct peer_watch *watch);

#endif
