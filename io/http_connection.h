#ifndef IO_HTTP_CONNECTION_H
#define IO_HTTP_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/peer_progress.h"

/* Server or client side of one HTTP/1.1 connection on the event loop. Received
   messages are parsed by http-parser and reported piece by piece; bytes to
   send are formatted by the owner and queued. Nothing is sent that the owner
   has not queued. Loop thread only. A handler may destroy the connection. */

struct http_connection;
struct loop;
struct http_head;
struct _GByteArray;

enum http_connection_end {
    HTTP_CONNECTION_CLOSED,         /* the peer has closed its side */
    HTTP_CONNECTION_RESET,          /* the connection failed */
    HTTP_CONNECTION_CONNECT_FAILED, /* connecting failed; nothing was sent */
    HTTP_CONNECTION_BAD_MESSAGE,    /* invalid HTTP, or incomplete response */
    /* The head exceeds max_head_bytes or 512 headers, or informational
       responses, chunk extensions or trailers have no end. */
    HTTP_CONNECTION_HEAD_TOO_BIG,
    /* Client: bytes have arrived when no response was due. */
    HTTP_CONNECTION_UNEXPECTED_BYTES,
    HTTP_CONNECTION_STALLED, /* the peer takes nothing of what is sent */
    HTTP_CONNECTION_SILENT,  /* the peer answers no packet */
};

/* Short static text for logs. */
const char *http_connection_end_text(enum http_connection_end end);

struct http_connection_handlers {
    /* The connection is established; client side only. May be NULL. */
    void (*opened)(void *data);
    /* The first byte of a message has arrived. May be NULL. It is also called
       for an informational response (1xx), of which nothing else is reported.
     */
    void (*begun)(void *data);
    void (*head)(void *data, const struct http_head *head);
    void (*body)(void *data, const uint8_t *bytes, size_t count);
    /* The message is complete. The next one is reported only after
       http_connection_next(). */
    void (*complete)(void *data);
    /* Nothing more will be received. The owner has to destroy the connection.
       After HTTP_CONNECTION_BAD_MESSAGE and HTTP_CONNECTION_HEAD_TOO_BIG it
       can still send a response first. */
    void (*ended)(void *data, enum http_connection_end end);
    /* The kernel has taken all queued bytes. May be NULL. */
    void (*all_sent)(void *data);
    /* The peer has acknowledged all bytes; or, after ended(), what is left
       can't be delivered. May be NULL. */
    void (*taken)(void *data);
};

struct http_connection_settings {
    uint32_t max_head_bytes;
    /* When the connection fails since the peer does not take what is sent. A
       system that does not tell what a peer has acknowledged applies
       max_silence_ms itself (TCP_USER_TIMEOUT), and what it has accepted
       counts as taken. */
    struct peer_limits peer;
    /* Idle time before the first TCP keepalive probe, and the interval between
       probes; 0: no keepalive. */
    uint32_t keepalive_s;
    /* How many unsent bytes the kernel may hold before the rest stays in this
       process's queue; 0: the system's default. */
    uint32_t max_unsent_bytes;
    /* Client: size of the kernel's receive buffer; 0: the system's default. */
    uint32_t receive_buffer_bytes;
};

/* Creates the server side of a connection, which receives requests. Takes
   ownership of the accepted socket. Returns NULL, with the socket closed, if
   the loop can't watch it. */
struct http_connection *http_connection_accept(
    struct loop *loop, int fd, const struct http_connection_settings *settings,
    const struct http_connection_handlers *handlers, void *data);

/* Creates the client side of a connection, which receives responses, and
   starts to connect to an IPv4 address. Returns NULL with errno if that fails
   immediately. */
struct http_connection *
http_connection_connect(struct loop *loop, const char *ip, uint16_t port,
                        const struct http_connection_settings *settings,
                        const struct http_connection_handlers *handlers,
                        void *data);

/* Number of connections of this process, of all threads. */
uint32_t http_connection_open_count(void);

/* Copies bytes to the queue, of which the socket is given as much as it takes
   when the loop's present handler returns: what one handler sends leaves in
   one write. */
void http_connection_send(struct http_connection *conn, const void *bytes,
                          size_t count);

/* The same without a copy: holds a reference until the bytes are sent or the
   connection is freed. They must not change meanwhile, and nothing may be sent
   after them until they are sent. */
void http_connection_send_shared(struct http_connection *conn,
                                 struct _GByteArray *bytes);

/* Number of queued bytes that the socket has not taken yet. */
size_t http_connection_queued_bytes(const struct http_connection *conn);

/* Bytes that the connection itself holds: queued ones without shared ones,
   and requests that arrived ahead. */
size_t http_connection_held_bytes(const struct http_connection *conn);

/* Whether the peer has acknowledged all bytes; a system call unless that is
   known. */
bool http_connection_is_taken(const struct http_connection *conn);

/* How long the peer had taken nothing of what is sent, at the last check. */
uint64_t http_connection_pause_ms(const struct http_connection *conn);

/* Memory that the kernel holds for the socket; a system call. */
size_t http_connection_kernel_bytes(const struct http_connection *conn);

/* Allows the next message to be reported. head_only says that the next
   response has no body, whatever its head says, as after a HEAD request. */
void http_connection_next(struct http_connection *conn, bool head_only);

/* Stops or resumes reading from the socket. */
void http_connection_pause(struct http_connection *conn, bool paused);

/* Whether an idle connection can't be reused, since the peer has closed it or
   has sent bytes on it. */
bool http_connection_is_stale(const struct http_connection *conn);

/* Sends the end of the connection after what is queued. What arrives is
   dropped. taken() or ended() is called when the peer has taken all of that,
   or will not. */
void http_connection_finish(struct http_connection *conn);

/* Closes the connection immediately; no handler is called any more. The
   memory is freed later, from a timer of the loop. */
void http_connection_destroy(struct http_connection *conn);

#endif
