#ifndef ENTRY_FRONT_H
#define ENTRY_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* HTTP server for callers (the HTTP clients of the service), libmicrohttpd on
   the event loop. An exchange is one request with its response. While a
   request waits for its response, its connection is suspended and it occupies
   no thread. Loop thread only. */

struct front;
struct exchange;
struct loop;
struct _GByteArray;
struct _GBytes;

struct front_settings {
    const char *ip;
    uint16_t port;
    uint64_t max_body_bytes; /* of one request */
    /* Bodies of all requests together, and as much again of responses. */
    uint64_t body_memory_bytes;
    uint32_t max_connections;
    uint32_t idle_s; /* timeout of connections without traffic */
};

struct front_handlers {
    /* The request is complete. Exactly one response has to be sent, now or
       later, unless the caller disconnects. */
    void (*request)(void *data, struct exchange *exchange);
    /* The response was sent, or the connection has ended. The exchange is
       freed after this call. Called exactly once for each request() call. */
    void (*closed)(void *data, struct exchange *exchange);
    /* The caller has closed its connection, or only its sending side, before
       the exchange has ended. No function that sends may be called any more;
       closed() follows. */
    void (*disconnected)(void *data, struct exchange *exchange);
    /* The connection has taken more of a streamed response; bytes is the total
       since its start. */
    void (*consumed)(void *data, struct exchange *exchange, uint64_t bytes);
};

/* Listens on an IPv4 address. Copies settings and handlers; data is passed to
   the handlers. Returns NULL if it can't listen. */
struct front *front_create(struct loop *loop,
                           const struct front_settings *settings,
                           const struct front_handlers *handlers, void *data);
/* Closes all connections; closed() is called for the open exchanges. */
void front_destroy(struct front *front);

/* Stops accepting connections. Open ones stay open, also those that only the
   kernel had accepted. */
void front_stop_listening(struct front *front);

/* The port that it listens at, also if the settings leave it to the system
   (0). */
uint16_t front_port(const struct front *front);

/* Number of exchanges, from the request's first line to the end of the
   response. */
uint32_t front_open_exchanges(const struct front *front);

/* Parts of the request. The texts are valid until the exchange ends. */
const char *exchange_method(const struct exchange *exchange);
/* The path without the query, percent-encoding kept. */
const char *exchange_path(const struct exchange *exchange);
/* The path with its query. */
const char *exchange_target(const struct exchange *exchange);
/* NULL if the request has no such header. */
const char *exchange_header(const struct exchange *exchange, const char *name);
/* Returns the body, with its ownership; called at most once. The body counts
   against body_memory_bytes until the exchange ends. */
struct _GBytes *exchange_take_body(struct exchange *exchange);

/* Counts memory for the collected body of a response until the exchange ends.
   Returns false if that of all responses together would exceed
   body_memory_bytes. */
bool exchange_reserve_response(struct exchange *exchange, uint64_t bytes);

/* A pointer that the user of the exchange keeps in it; NULL at first. */
void exchange_set_owner(struct exchange *exchange, void *owner);
void *exchange_owner(const struct exchange *exchange);

/* Adds a header to the response. It is called before the functions below. */
void exchange_add_header(struct exchange *exchange, const char *name,
                         const char *value);

/* Sends a complete response. Takes ownership of the body (NULL: empty).
   content_type may be NULL or empty for none. */
void exchange_respond(struct exchange *exchange, uint32_t status,
                      const char *content_type, struct _GByteArray *body);

/* A response in chunks: its head, any number of chunks, its end. If it ends
   incomplete, the connection is closed without the last chunk, so that the
   caller sees it as truncated. */
void exchange_stream_begin(struct exchange *exchange, uint32_t status,
                           const char *content_type);
void exchange_stream_chunk(struct exchange *exchange, const uint8_t *bytes,
                           size_t count);
void exchange_stream_end(struct exchange *exchange, bool complete);

#endif
