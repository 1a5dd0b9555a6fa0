#ifndef GATEWAY_CALLERS_H
#define GATEWAY_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* HTTP server for callers: accepts connections, reads requests within the
   limits of the configuration and sends the responses. A struct caller is the
   HTTP client on one connection. Loop thread only. */

struct buffer_budget;
struct caller;
struct callers;
struct catalog_limits;
struct http_head;
struct loop;
struct _GByteArray;

struct callers_handlers {
    /* The head of a request has arrived; it is borrowed for the call. Returns
       the exchange that is passed to the other handlers. */
    void *(*begin)(void *data, struct caller *caller,
                   const struct http_head *head);
    /* The request is complete. The body is owned by the caller, does not
       change, and is valid until ended(). Exactly one response has to be sent,
       now or later. */
    void (*request)(void *exchange, struct _GByteArray *body);
    /* The last call for an exchange. aborted: the caller disconnected or timed
       out, or callers_destroy() was called, before the response ended. It
       comes without request() if the body doesn't arrive or is too large. */
    void (*ended)(void *exchange, bool aborted);
    /* All queued bytes of a streamed response were sent. Never called from
       within the functions that send it. */
    void (*all_sent)(void *exchange);
    /* Ends the exchange now, since there is no memory for it: for its body,
       which may still be arriving, or for what its caller does not take.
       why is a short static text. May be NULL without a budget. */
    void (*give_up)(void *exchange, const char *why);
    /* The process ends: answers the exchange now. */
    void (*stop)(void *exchange);
    /* Memory that the kernel holds for the exchange's other connections. May
       be NULL without a budget. */
    size_t (*kernel_bytes)(void *exchange);
};

/* Listens on an IPv4 address; port 0 takes a free one. Copies the handlers;
   data is passed to begin(). Returns NULL with errno if it can't listen. */
struct callers *callers_create(struct loop *loop, const char *ip,
                               uint16_t port,
                               const struct callers_handlers *handlers,
                               void *data);

/* How many HTTP connections the process may have before this server closes its
   idle callers, or accepts no more; 0, as at first: as many as there are
   descriptors. */
void callers_set_max_connections(struct callers *callers, uint32_t max);

/* Counts what is held for connections that are accepted from now on, and
   bounds it. The budget is borrowed. */
void callers_set_budget(struct callers *callers, struct buffer_budget *budget);

/* Counts what the kernel holds, and ends exchanges if more than the budget is
   held. To be called several times a second. Returns the number of callers
   that have not taken all that is queued for them. */
uint32_t callers_check_memory(struct callers *callers);

/* Closes all connections. Exchanges in progress get ended() with aborted set.
 */
void callers_destroy(struct callers *callers);

/* The port it listens on; 0 if it doesn't any more. */
uint16_t callers_port(const struct callers *callers);

/* Sets the limits on requests. max_head_bytes applies only to connections that
   are accepted from now on. */
void callers_set_limits(struct callers *callers,
                        const struct catalog_limits *limits);

/* From now on each response that begins is the last one on its connection. */
void callers_drain(struct callers *callers);

/* Stops listening and closes the connections without a request. Those that the
   kernel has accepted and requests that have arrived are served. */
void callers_close(struct callers *callers);

/* Answers all requests now, those that have not arrived completely as not run,
   and closes the connections once their callers have the answers. Called after
   callers_close(). */
void callers_stop(struct callers *callers);

/* Whether no request is being read or served and no response is being sent. */
bool callers_are_idle(const struct callers *callers);

/* Number of requests whose head has arrived and whose response has not ended.
 */
uint32_t callers_pending(const struct callers *callers);

/* Number of open connections. */
uint32_t callers_connections(const struct callers *callers);

/* Responses, delimited by core/response_framing.h. Each function copies its
   data. The caller must not be used after the response's end. */

struct caller_response {
    uint32_t status;
    /* The status line and the headers, each line with its CRLF, without the
       blank line and the headers that frame the body. */
    const struct _GByteArray *head;
    /* Content-Length of an endpoint's head, for a response without a body. */
    bool has_length;
    uint64_t length_bytes;
};

/* Sends a complete response. */
void caller_send_response(struct caller *caller,
                          const struct caller_response *response,
                          const void *body, size_t count);

/* A response in chunks: its head, any number of chunks, its end. If it ends
   incomplete, the connection is closed without the last chunk, so that the
   caller sees it as truncated. */
void caller_stream_begin(struct caller *caller,
                         const struct caller_response *response);
void caller_stream_chunk(struct caller *caller, const void *bytes,
                         size_t count);
void caller_stream_end(struct caller *caller, bool complete);

/* Sets how many bytes the exchange itself keeps for the response. */
void caller_set_kept_bytes(struct caller *caller, size_t bytes);

/* Whether as much is held for the caller as it may occupy now: nothing more of
   its response should be read until all_sent() is called. */
bool caller_is_full(const struct caller *caller);

#endif
