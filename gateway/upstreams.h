#ifndef GATEWAY_UPSTREAMS_H
#define GATEWAY_UPSTREAMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Connections to endpoints, kept open between requests. A request is sent
   once; nothing here sends it again. Loop thread only. */

struct endpoint;
struct http_head;
struct loop;
struct upstream;
struct upstreams;

enum upstream_failure {
    UPSTREAM_NOT_SENT, /* no connection: the endpoint has not seen it */
    UPSTREAM_BROKEN,   /* it may have run */
};

struct upstream_handlers {
    void (*head)(void *data, const struct http_head *head);
    void (*body)(void *data, const uint8_t *bytes, size_t count);
    /* The answer is complete. The upstream is gone after it. */
    void (*end)(void *data);
    /* The same, without an answer or in the middle of one. */
    void (*failed)(void *data, enum upstream_failure failure, const char *why);
};

struct upstream_request {
    const void *head; /* with the blank line */
    size_t head_bytes;
    const void *body;
    size_t body_bytes;
    bool head_only; /* the answer has no body */
    /* It must not run twice, and a kept connection might be closed under it:
       only one that was used a moment ago will do. */
    bool at_most_once;
    /* Most connections of this gateway to the endpoint. */
    uint32_t max_connections;
};

struct upstreams *upstreams_create(struct loop *loop);
void upstreams_destroy(struct upstreams *upstreams);

/* Sends a request. Returns NULL if no connection may be opened. */
struct upstream *upstreams_send(struct upstreams *upstreams,
                                const struct endpoint *endpoint,
                                const struct upstream_request *request,
                                const struct upstream_handlers *handlers,
                                void *data);

/* How long the endpoint keeps an idle connection, as its answer's head said;
   0: not said. */
void upstream_set_idle_timeout_s(struct upstream *upstream, uint32_t idle_s);

/* Stops or goes on with reading the answer. */
void upstream_pause(struct upstream *upstream, bool paused);

/* Ends the connection; no handler is called any more. */
void upstream_cancel(struct upstream *upstream);

/* Connections opened so far, and open now. */
uint64_t upstreams_opened(const struct upstreams *upstreams);
uint32_t upstreams_open(const struct upstreams *upstreams);

#endif
