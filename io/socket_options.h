#ifndef IO_SOCKET_OPTIONS_H
#define IO_SOCKET_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

/* TCP sockets and their options. Failures to set an option are ignored: a
   connection works without it. */

/* Starts to connect to an IPv4 address, without blocking. receive_buffer_bytes
   bounds the receive buffer, in place of the system's growing one; 0: the
   system's. Returns the socket, or -1 with errno. */
int socket_connect(const char *ip, uint16_t port,
                   uint32_t receive_buffer_bytes);

/* Each write leaves at once (TCP_NODELAY). */
void socket_send_at_once(int fd);

/* Probes an idle connection after idle_s, and then each interval_s, until
   count probes were lost. */
void socket_probe_idle(int fd, uint32_t idle_s, uint32_t interval_s,
                       uint32_t count);

/* The connection fails if sent bytes stay unacknowledged for so long, or if
   the peer's window stays too small for them (TCP_USER_TIMEOUT); 0: the
   system's default. */
void socket_limit_unacknowledged(int fd, uint32_t timeout_ms);

/* The kernel takes further bytes only while it has fewer unsent ones
   (TCP_NOTSENT_LOWAT). Bytes that are on their way don't count, so that quick
   peers are not slowed down. */
void socket_limit_unsent(int fd, uint32_t bytes);

/* What the system knows of the peer of a connection. */
struct socket_peer {
    uint32_t unacknowledged_bytes; /* sent, and not acknowledged */
    bool unanswered;               /* packets are sent, and not answered yet */
    uint32_t answered_ago_ms;      /* since the last answer to any packet */
    uint32_t segment_bytes;        /* largest that is sent */
    bool closed;                   /* nothing more can be sent */
};

/* Returns false if the system does not say. */
bool socket_ask_peer(int fd, struct socket_peer *peer);

/* Sends the end of the connection after all bytes. Returns false if that is
   not possible any more. */
bool socket_send_end(int fd);

/* Memory that the kernel holds for the socket: received and not yet read, sent
   and not yet acknowledged, and not yet sent. 0 if it does not say. */
uint32_t socket_kernel_bytes(int fd);

#endif
