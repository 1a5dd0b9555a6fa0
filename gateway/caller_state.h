#ifndef GATEWAY_CALLER_STATE_H
#define GATEWAY_CALLER_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/response_framing.h"
#include "gateway/callers.h"

/* The state of callers and their server, shared by callers.c, which reads
   requests and sends responses, caller_accept.c, which accepts them, and
   caller_memory.c, which counts what is held for them. Loop thread only. */

struct buffer_account;
struct buffer_budget;
struct http_connection;
struct loop;
struct loop_timer;

enum caller_state {
    CALLER_IDLE,      /* no request has begun */
    CALLER_TAKING,    /* the same, and the last response is not all taken */
    CALLER_HEAD,      /* a head is being read */
    CALLER_BODY,      /* a body is being read */
    CALLER_WAITING,   /* the response has not begun */
    CALLER_STREAMING, /* a streamed response is being sent */
    CALLER_LINGER,    /* responded early; the rest is read and dropped */
    CALLER_CLOSING,   /* closed when what was sent is taken */
};

struct caller {
    struct callers *callers;
    struct http_connection *connection;
    struct loop_timer *timer;
    enum caller_state state;
    bool keep_alive;
    bool head_only;                  /* HEAD: the response has no body */
    struct response_framing framing; /* of a streamed response */
    bool drops_queue; /* what it has not taken is not sent to it */
    void *exchange;   /* the handlers'; NULL: none, or ended() was called */
    GByteArray *body;
    uint64_t body_started_ms;
    uint64_t idle_since_ms;         /* while it is idle */
    struct buffer_account *account; /* NULL: nothing is counted */
    uint64_t reserved_bytes;        /* for the body */
    size_t kept_bytes;              /* of the response, by the exchange */
};

struct callers {
    struct loop *loop;
    int listen_fd;
    bool draining;
    struct callers_handlers handlers;
    void *data;
    struct catalog_limits limits;
    struct buffer_budget *budget; /* borrowed; NULL: none */
    GHashTable *connections;      /* struct caller, as a set */
    uint32_t pending;
    /* Accepting, see caller_accept.h. */
    uint32_t max_connections;
    bool accept_paused;
    uint64_t short_since_ms; /* 0: there are descriptors */
    uint64_t resumed_ms;     /* when the last pause ended */
    struct loop_timer *accept_timer;
};

/* Serves an accepted connection. */
void caller_open(struct callers *callers, int fd);

/* Whether an idle caller has sent something, which is read next: then it is
   not idle any more. */
bool caller_note_request(struct caller *caller);

void caller_close_idle(struct caller *caller);

#endif
