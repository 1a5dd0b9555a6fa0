#ifndef CORE_WORK_H
#define CORE_WORK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/message.h"

/* One reservation at an agent and, once it is granted, the execution of its
   request. Private to dispatch and work_queue; other modules use the accessors
   in dispatch.h, which also says what a link is. */

struct response_buffer;

enum work_state {
    WORK_QUEUED,  /* waits for capacity */
    WORK_OFFERED, /* capacity is held until the grant arrives */
    WORK_GRANTED, /* the request body is arriving */
    WORK_RUNNING, /* sent to the endpoint */
    WORK_ENDED,   /* the end was sent; only the record remains */
};

struct work {
    struct request_id id;
    uint32_t attempt;
    enum work_state state;
    GArray *links; /* uint64_t; the response goes to all of them */
    enum work_class class;
    bool repeatable;
    char account[MESSAGE_NAME_BYTES];
    uint64_t prompt_tokens;
    uint64_t max_tokens;
    uint64_t memory_tokens; /* as reserved; 0: prompt_tokens + max_tokens */
    uint64_t prefixes[MESSAGE_MAX_PREFIXES]; /* as from prefix_hashes() */
    uint32_t prefix_count;

    uint64_t cached_tokens;       /* of the prompt, in the engine's cache */
    uint64_t prefill_tokens;      /* tokens of the prompt that aren't cached */
    uint64_t need_tokens;         /* KV memory it takes; 0 for plain work */
    uint64_t service_ms;          /* see work_queue_estimate() */
    uint64_t prefill_left_tokens; /* by work_queue's model of the engine */
    uint64_t model_done_ms; /* when the prefill was over, by that model */
    bool is_short;
    uint64_t arrived_ms;
    uint64_t deadline_ms;
    uint64_t order_ms; /* sort key of the queue; the lowest goes first */
    uint64_t offered_ms;
    uint64_t ended_ms;
    uint64_t detached_ms; /* when its last link was lost; 0 if it has one */
    GSequenceIter *queue_iter; /* NULL if not queued */
    GSequenceIter *timer_iter; /* in dispatch's timers; NULL until added */
    uint64_t timer_ms;         /* UINT64_MAX: never */

    /* From the grant; freed once the work has ended at the endpoint. */
    char *method;
    char *path;
    char *content_type;
    char *memory_parts;
    uint64_t body_bytes;
    GByteArray *body;

    struct response_buffer *response;
    bool at_endpoint; /* dispatch_finished() is still to come */
    bool consumed;    /* the entry has consumed the whole response */
    bool not_run;     /* it ended without a start, and never will start */
    bool prefilling;  /* holds capacity, its first byte is awaited */
    void *user_data;  /* see work_set_user_data() */
};

struct work *work_create(const struct message *reserve, uint64_t link,
                         uint64_t now_ms);
void work_destroy(struct work *work);

/* Copies the request that a grant carries; its budget sets the deadline. */
void work_set_grant(struct work *work, const struct message *grant,
                    uint64_t now_ms);
/* Frees the request, not the response. */
void work_free_request(struct work *work);

bool work_has_link(const struct work *work, uint64_t link);
/* Adds a link, unless it is 0 or there already, and clears detached_ms. */
void work_add_link(struct work *work, uint64_t link);
/* Removes a link; the last one sets detached_ms. */
void work_remove_link(struct work *work, uint64_t link, uint64_t now_ms);

#endif
