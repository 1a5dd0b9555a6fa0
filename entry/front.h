#ifndef ENTRY_FRONT_H
#define ENTRY_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The callers' side: HTTP by libmicrohttpd on the event loop. A request that
   waits holds no thread; its connection is suspended. Loop thread only. */

struct front;
struct exchange;
struct loop;
struct _GByteArray;
struct _GBytes;

struct front_settings {
    const char *ip;
    uint16_t port;
    uint64_t max_body_bytes;    /* of one request */
    uint64_t body_memory_bytes; /* of all requests together */
    uint32_t max_connections;
    uint32_t idle_s; /* a connection without traffic is closed after it */
};

struct front_handlers {
    /* A whole request has come. One answer is owed to it. */
    void (*request)(void *data, struct exchange *exchange);
    /* The answer is out, or the caller has gone: the exchange ends after this
       call. Called exactly once for each request() call. */
    void (*closed)(void *data, struct exchange *exchange);
    /* The caller's connection has ended while its answer was owed; closed()
       follows when the answer is given. */
    void (*gone)(void *data, struct exchange *exchange);
    /* So many bytes of a streamed answer were taken by the connection. */
    void (*consumed)(void *data, struct exchange *exchange, uint64_t bytes);
};

/* Returns NULL if the address can't be listened on. */
struct front *front_create(struct loop *loop,
                           const struct front_settings *settings,
                           const struct front_handlers *handlers, void *data);

/* Stops taking connections; those that are open go on. */
void front_stop_listening(struct front *front);

/* Requests that wait for their answer or its end. */
uint32_t front_open_exchanges(const struct front *front);

const char *exchange_method(const struct exchange *exchange);
const char *exchange_path(const struct exchange *exchange);
/* The path with its query. */
const char *exchange_target(const struct exchange *exchange);
/* NULL if the request has no such header. */
const char *exchange_header(const struct exchange *exchange, const char *name);
/* Takes the body out, once. It counts in the body memory until the exchange
   ends. */
struct _GBytes *exchange_take_body(struct exchange *exchange);

/* The owner's pointer. */
void exchange_set_owner(struct exchange *exchange, void *owner);
void *exchange_owner(const struct exchange *exchange);

/* Adds a header to the answer, before it is given. */
void exchange_add_header(struct exchange *exchange, const char *name,
                         const char *value);

/* The whole answer. Takes the body over (NULL: none). */
void exchange_answer(struct exchange *exchange, uint32_t status,
                     const char *content_type, struct _GByteArray *body);

/* A streamed answer: its head, its bytes, its end. Ending it as broken cuts
   the connection, so that the caller sees that something is missing. */
void exchange_stream(struct exchange *exchange, uint32_t status,
                     const char *content_type);
void exchange_stream_data(struct exchange *exchange, const uint8_t *bytes,
                          size_t count);
void exchange_stream_end(struct exchange *exchange, bool whole);

#endif
