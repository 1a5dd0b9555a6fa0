#ifndef GATEWAY_UPSTREAMS_H
#define GATEWAY_UPSTREAMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Connection pools to endpoints. An upstream is one connection while it
   carries a request; between requests the connection stays open in its
   endpoint's pool. A request is sent once and never retried here. Loop thread
   only. */

struct endpoint;
struct http_head;
struct loop;
struct upstream;
struct upstreams;
struct _GByteArray;

enum upstream_failure {
    UPSTREAM_NOT_SENT,     /* no connection: the endpoint hasn't received it */
    UPSTREAM_MAY_HAVE_RUN, /* the endpoint may have run the request */
    UPSTREAM_ENDLESS,      /* as above, and its response's head has no end */
};

struct upstream_handlers {
    /* The response's head, and parts of its body, borrowed for the call. */
    void (*head)(void *data, const struct http_head *head);
    void (*body)(void *data, const uint8_t *bytes, size_t count);
    /* The response is complete. The upstream must not be used any more. */
    void (*end)(void *data);
    /* The connection has failed before the response was complete. The upstream
       must not be used any more. why is a short static text. */
    void (*failed)(void *data, enum upstream_failure failure, const char *why);
};

struct upstream_request {
    const void *head; /* including the blank line */
    size_t head_bytes;
    /* Not copied, and not changed until the upstream has ended; NULL: none. */
    struct _GByteArray *body;
    bool head_only; /* HEAD: the response has no body */
    /* The request must not run twice. An idle connection may be closed by the
       endpoint while the request is on its way, so only one that was used less
       than half a second ago is reused. */
    bool at_most_once;
    /* The request's id, which its response repeats: a connection carries an id
       only once, since a second response to the first request with it may
       still arrive. NULL: none. */
    const char *id;
    /* Only a connection without an earlier request is used, whose first
       response can belong to no other one. */
    bool needs_new;
    /* Time for the complete response; 0: the owner cancels it when it is due.
     */
    uint32_t timeout_ms;
    /* Limit of this gateway's connections to the endpoint, idle ones included.
     */
    uint32_t max_connections;
};

struct upstreams *upstreams_create(struct loop *loop);
/* Bounds what the kernel holds for each connection that is opened from now on:
   received bytes, and a fixed number of unsent ones. Without this, the
   system's bounds apply. */
void upstreams_limit_kernel_buffers(struct upstreams *upstreams,
                                    uint32_t receive_buffer_bytes);
/* Closes the idle connections. All upstreams must have ended or been
   cancelled before. */
void upstreams_destroy(struct upstreams *upstreams);

/* Sends a request on an idle or a new connection. Copies the request but for
   its body, and the handlers. Returns NULL, and calls no handler, if the limit
   is reached or the connection fails at once. */
struct upstream *upstreams_send(struct upstreams *upstreams,
                                const struct endpoint *endpoint,
                                const struct upstream_request *request,
                                const struct upstream_handlers *handlers,
                                void *data);

/* Whether the connection has carried no request before: the response may be
   one that the endpoint has sent late or twice otherwise. */
bool upstream_is_new(const struct upstream *upstream);

/* Sets how many seconds the endpoint keeps an idle connection open, from its
   response's head. 0: the head doesn't say, nothing changes. */
void upstream_set_idle_timeout_s(struct upstream *upstream, uint32_t idle_s);

/* Pauses or resumes reading the response. */
void upstream_pause(struct upstream *upstream, bool paused);

/* Memory that the kernel holds for the connection; a system call. */
size_t upstream_kernel_bytes(const struct upstream *upstream);

/* Closes the connection and frees the upstream; NULL is allowed. No handler is
   called any more. */
void upstream_cancel(struct upstream *upstream);

/* Whether there is an open connection to the endpoint, in use or idle. */
bool upstreams_is_connected(const struct upstreams *upstreams,
                            const struct endpoint *endpoint);

/* Number of connections opened since the start, and open now. */
uint64_t upstreams_opened_total(const struct upstreams *upstreams);
uint32_t upstreams_open_count(const struct upstreams *upstreams);

#endif
