#ifndef GATEWAY_CALLERS_H
#define GATEWAY_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The callers' connections: reads their requests within the limits of the
   configuration and sends the answers. Loop thread only. */

struct caller;
struct callers;
struct catalog_limits;
struct http_head;
struct loop;
struct _GByteArray;

struct callers_handlers {
    /* The head of a request. Returns what is handed to the others. */
    void *(*begin)(void *data, struct caller *caller,
                   const struct http_head *head);
    /* The request is complete; its body is the caller's until the answer has
       ended. Exactly one answer is owed. */
    void (*request)(void *exchange, const struct _GByteArray *body);
    /* Its answer has ended, or its caller has left before that: the last call
       for it. */
    void (*ended)(void *exchange, bool left);
    /* The connection has taken all that was queued. */
    void (*drained)(void *exchange);
};

/* Returns NULL if the address can't be listened on. */
struct callers *callers_create(struct loop *loop, const char *ip,
                               uint16_t port,
                               const struct callers_handlers *handlers,
                               void *data);

/* Ends all connections; their requests are told as left. */
void callers_destroy(struct callers *callers);

/* The port that is listened on. */
uint16_t callers_port(const struct callers *callers);

void callers_set_limits(struct callers *callers,
                        const struct catalog_limits *limits);

/* From now on each answer is the last one on its connection. */
void callers_drain(struct callers *callers);
/* No new connections, and those without a request are closed. */
void callers_close(struct callers *callers);

/* Requests that wait for their answer's end. */
uint32_t callers_pending(const struct callers *callers);
uint32_t callers_open(const struct callers *callers);

/* Answers. head: status line and headers, each line ended, but for those that
   frame the body. */

void caller_answer(struct caller *caller, const struct _GByteArray *head,
                   const void *body, size_t count);

/* An answer in pieces; if it is not whole at its end, the connection is cut,
   so that it does not look complete. */
void caller_stream(struct caller *caller, const struct _GByteArray *head);
void caller_stream_piece(struct caller *caller, const void *bytes,
                         size_t count);
void caller_stream_end(struct caller *caller, bool complete);

/* Bytes that the connection has not taken yet. */
size_t caller_queued_bytes(const struct caller *caller);

#endif
