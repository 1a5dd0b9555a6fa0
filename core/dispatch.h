#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* The agent's decisions about one endpoint: which reservation gets room next,
   how long an offer, a lease and a record of past work last, and what is said
   of a request's execution. No input or output; each call takes the present
   time of one monotonic clock in milliseconds. */

struct dispatch;
struct pool;
struct work;

/* A link is named by a number that its owner gives it; 0 is none. */

struct dispatch_settings {
    uint32_t order;             /* enum work_order */
    uint32_t offer_window_ms;   /* a grant later than this is not started */
    uint32_t lease_ms;          /* work without its entry is cancelled */
    uint32_t record_ms;         /* how long ended work is remembered */
    uint32_t prefill_window_ms; /* prefill given to the engine ahead */
    uint32_t max_queue;         /* reservations waiting */
    uint64_t max_body_bytes;    /* bodies of all work together */
};

struct dispatch_ops {
    void (*send)(void *context, uint64_t link, const struct message *message);
    /* Starts work at the endpoint. Answers come back through
       dispatch_head(), _data() and _finished(). */
    void (*start)(void *context, struct work *work);
    /* Stops work at the endpoint; dispatch_finished() may still come. */
    void (*stop)(void *context, struct work *work);
    /* The entry has consumed this much of the answer. */
    void (*confirmed)(void *context, struct work *work, uint64_t offset);
    /* Tokens of a prompt whose KV the engine still has; 0 if unknown. */
    uint64_t (*cached_tokens)(void *context, const struct message *reserve);
};

/* Counted since the start. */
struct dispatch_counts {
    uint64_t reserved;
    uint64_t offered;
    uint64_t granted;
    uint64_t refused;
    uint64_t refused_at_admission;
    uint64_t missed_after_admission;
    uint64_t lapsed_offers;
    uint64_t stale_grants;
    uint64_t dropped_frames;
    uint64_t cancelled;
    uint64_t finished;
    uint64_t failed;
};

struct dispatch *dispatch_create(const struct dispatch_settings *settings,
                                 const struct dispatch_ops *ops,
                                 void *context);
void dispatch_destroy(struct dispatch *dispatch);

/* The pool that the endpoint belongs to, copied; NULL if it is in none, then
   every reservation is refused. */
void dispatch_set_pool(struct dispatch *dispatch, const struct pool *pool,
                       uint64_t generation, uint64_t now_ms);

/* A frame from an entry. Any that fits nothing is counted and dropped. */
void dispatch_message(struct dispatch *dispatch, uint64_t link,
                      const struct message *message, uint64_t now_ms);
void dispatch_link_down(struct dispatch *dispatch, uint64_t link,
                        uint64_t now_ms);

/* Whether the endpoint answers its health checks. */
void dispatch_set_healthy(struct dispatch *dispatch, bool healthy,
                          uint64_t now_ms);

/* No new work from now on; what runs goes on. */
void dispatch_drain(struct dispatch *dispatch, uint64_t now_ms);

/* The endpoint's answer to started work. */
void dispatch_head(struct dispatch *dispatch, struct work *work,
                   uint32_t status, const char *content_type);
void dispatch_data(struct dispatch *dispatch, struct work *work,
                   const uint8_t *bytes, size_t count, uint64_t now_ms);
/* REASON_NONE is success. Called exactly once for each start. */
void dispatch_finished(struct dispatch *dispatch, struct work *work,
                       enum outcome outcome, enum reason reason,
                       uint64_t now_ms);

/* When dispatch_timeout() wants to be called, UINT64_MAX for never. */
uint64_t dispatch_next_ms(const struct dispatch *dispatch);
void dispatch_timeout(struct dispatch *dispatch, uint64_t now_ms);

/* Work of a request that runs at the endpoint, NULL if none does. */
struct work *dispatch_find_running(const struct dispatch *dispatch,
                                   struct request_id id);

const struct dispatch_counts *dispatch_counts(const struct dispatch *dispatch);
uint32_t dispatch_queued(const struct dispatch *dispatch);
/* Work granted and not ended. */
uint32_t dispatch_active(const struct dispatch *dispatch);
uint64_t dispatch_load_tokens(const struct dispatch *dispatch);
uint64_t dispatch_held_tokens(const struct dispatch *dispatch);
/* Whether a reservation or work of this link is in progress. */
bool dispatch_link_busy(const struct dispatch *dispatch, uint64_t link);
/* Nothing runs, and every answer was consumed or nobody asks for it. */
bool dispatch_idle(const struct dispatch *dispatch, uint64_t now_ms);

/* What the start handler needs of a piece of work. */
struct request_id work_id(const struct work *work);
uint32_t work_attempt(const struct work *work);
enum work_class work_class_of(const struct work *work);
bool work_repeatable(const struct work *work);
const char *work_method(const struct work *work);
const char *work_path(const struct work *work);
const char *work_content_type(const struct work *work);
const char *work_memory_parts(const struct work *work);
const uint8_t *work_body(const struct work *work, size_t *bytes);
/* For the engine: lower goes first. */
uint64_t work_priority(const struct work *work);
uint64_t work_deadline_ms(const struct work *work);
const uint64_t *work_prefixes(const struct work *work, uint32_t *count);
/* The glue's own data about started work. */
void work_set_job(struct work *work, void *job);
void *work_job(const struct work *work);

#endif
