#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* Scheduling at an agent, the process in front of one endpoint. Entries, the
   processes that accept callers' requests, send the agent reservations. The
   agent queues them and offers capacity to each in turn. The entry accepts an
   offer by sending a grant, and only granted work runs. The module also
   decides when an offer, a lease and a record of ended work expire, and it
   reports to the entry whether a request ran.

   A link is the connection to one entry. The owner of the dispatch numbers the
   links; 0 stands for no link.

   The module does no input or output of its own and isn't thread-safe. Every
   now_ms comes from one monotonic clock, in milliseconds. */

struct dispatch;
struct pool;
struct work;

struct dispatch_settings {
    uint32_t order; /* enum work_order, see work_queue.h */
    /* An offer expires if it isn't granted within this time. Work that isn't
       repeatable starts only if its whole body arrives within it too. */
    uint32_t offer_window_ms;
    /* Repeatable work is cancelled this long after it lost its last link. */
    uint32_t lease_ms;
    /* The minimum time to keep a record of ended work; a record of repeatable
       work that may have run is deleted as soon as its entry has consumed the
       whole response. */
    uint32_t record_ms;
    uint32_t prefill_window_ms; /* bound on the prefill queued at the engine */
    uint32_t max_queue;         /* queued reservations */
    uint64_t max_body_bytes;    /* request bodies of all granted work */
};

/* Callbacks. Work belongs to the dispatch; a callback must not free it. */
struct dispatch_ops {
    void (*send)(void *context, uint64_t link, const struct message *message);
    /* Sends the request to the endpoint. The owner reports the response with
       dispatch_head(), dispatch_data() and dispatch_finished(). */
    void (*start)(void *context, struct work *work);
    /* Cancels the request at the endpoint. The owner still reports its end
       with dispatch_finished(), but not from within this call. */
    void (*stop)(void *context, struct work *work);
    /* Reports that the entry has consumed the response up to this byte
       offset. */
    void (*consumed)(void *context, struct work *work, uint64_t offset);
    /* Returns how many tokens of the prompt are in the engine's prefix cache,
       0 if unknown. */
    uint64_t (*cached_tokens)(void *context, const struct message *reserve);
};

/* Totals since dispatch_create(). */
struct dispatch_counts {
    uint64_t reserved;
    uint64_t offered;
    uint64_t granted;
    uint64_t refused;
    uint64_t refused_at_admission;   /* queue full, or the wait too long */
    uint64_t missed_after_admission; /* queued, but not offered in time */
    uint64_t lapsed_offers;          /* expired before the grant */
    uint64_t stale_grants;           /* came or were complete too late */
    uint64_t dropped_frames;         /* see dispatch_message() */
    uint64_t cancelled;
    uint64_t finished;
    uint64_t failed;
};

struct dispatch *dispatch_create(const struct dispatch_settings *settings,
                                 const struct dispatch_ops *ops,
                                 void *context);
void dispatch_destroy(struct dispatch *dispatch);

/* Sets the pool that the endpoint belongs to, as of a configuration
   generation. The pool is copied. NULL means that the endpoint is in no pool,
   and every reservation is then refused. An older generation is ignored. */
void dispatch_set_pool(struct dispatch *dispatch, const struct pool *pool,
                       uint64_t generation, uint64_t now_ms);

/* Handles a message from an entry. A message that matches no work, or not the
   state of its work, is dropped and counted. */
void dispatch_message(struct dispatch *dispatch, uint64_t link,
                      const struct message *message, uint64_t now_ms);
/* Reports that a link was lost. Work without another link then ends unless it
   runs; running work continues, repeatable work only for lease_ms. */
void dispatch_link_down(struct dispatch *dispatch, uint64_t link,
                        uint64_t now_ms);

/* Sets whether the endpoint passes its health checks. An unhealthy endpoint
   refuses all reservations; running work continues. */
void dispatch_set_healthy(struct dispatch *dispatch, bool healthy,
                          uint64_t now_ms);

/* Refuses all reservations from now on; granted work continues. */
void dispatch_drain(struct dispatch *dispatch, uint64_t now_ms);

/* Report the head of the endpoint's response, and then its body in parts. */
void dispatch_head(struct dispatch *dispatch, struct work *work,
                   uint32_t status, const char *content_type);
void dispatch_data(struct dispatch *dispatch, struct work *work,
                   const uint8_t *bytes, size_t count, uint64_t now_ms);
/* Reports the end of the work at the endpoint; REASON_NONE means success. Must
   be called exactly once for each ops.start(). */
void dispatch_finished(struct dispatch *dispatch, struct work *work,
                       enum outcome outcome, enum reason reason,
                       uint64_t now_ms);

/* When dispatch_timeout() is to be called next, UINT64_MAX for never. */
uint64_t dispatch_next_ms(const struct dispatch *dispatch);
void dispatch_timeout(struct dispatch *dispatch, uint64_t now_ms);

/* Returns the running work of a request, NULL if there is none. */
struct work *dispatch_find_running(const struct dispatch *dispatch,
                                   struct request_id id);

const struct dispatch_counts *dispatch_counts(const struct dispatch *dispatch);
uint32_t dispatch_queued(const struct dispatch *dispatch);
/* Number of granted requests whose end was not sent yet. */
uint32_t dispatch_active(const struct dispatch *dispatch);
/* Estimated prefill tokens left of queued, offered and granted work. */
uint64_t dispatch_load_tokens(const struct dispatch *dispatch);
/* Tokens of KV memory held for offered and granted work. */
uint64_t dispatch_held_tokens(const struct dispatch *dispatch);
/* Whether the link has a reservation or granted work that has not ended. */
bool dispatch_link_busy(const struct dispatch *dispatch, uint64_t link);
/* Whether no work is active or still ending at the endpoint, and every
   response was consumed, or has no link, or ended at least lease_ms ago. */
bool dispatch_idle(const struct dispatch *dispatch, uint64_t now_ms);

/* Accessors for ops.start(). The strings and the body belong to the work and
   are valid until dispatch_finished(). */
struct request_id work_id(const struct work *work);
uint32_t work_attempt(const struct work *work);
enum work_class work_class_of(const struct work *work);
bool work_repeatable(const struct work *work);
const char *work_method(const struct work *work);
const char *work_path(const struct work *work);
const char *work_content_type(const struct work *work);
const char *work_memory_parts(const struct work *work);
const uint8_t *work_body(const struct work *work, size_t *bytes);
/* Priority for the engine's scheduler; the lowest value goes first. */
uint64_t work_priority(const struct work *work);
uint64_t work_deadline_ms(const struct work *work);
const uint64_t *work_prefixes(const struct work *work, uint32_t *count);
/* A pointer that the owner of the dispatch attaches to the work. It isn't
   freed with the work. */
void work_set_user_data(struct work *work, void *user_data);
void *work_user_data(const struct work *work);

#endif
