#ifndef CORE_WORK_H
#define CORE_WORK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/message.h"

/* One reservation and the work that may come of it, as the modules of
   dispatch share it. Others use the accessors in dispatch.h. */

struct answer;

enum work_state {
    WORK_QUEUED,  /* waits for room */
    WORK_OFFERED, /* room is held, the grant is awaited */
    WORK_GRANTED, /* the body is on its way */
    WORK_RUNNING, /* started at the endpoint */
    WORK_ENDED,   /* its last word is said; remembered for a while */
};

struct work {
    struct request_id id;
    uint32_t attempt;
    enum work_state state;
    GArray *links; /* uint64_t: who gets the answer */
    enum work_class class;
    bool repeatable;
    char account[MESSAGE_NAME_BYTES];
    uint64_t prompt_tokens;
    uint64_t max_tokens;
    uint64_t memory_tokens; /* asked for; 0: prompt and answer */
    uint64_t prefixes[MESSAGE_MAX_PREFIXES];
    uint32_t prefix_count;

    uint64_t cached_tokens;
    uint64_t prefill_tokens; /* of the prompt, not cached */
    uint64_t need_tokens;    /* of KV memory; 0 for plain work */
    uint64_t service_ms;     /* estimate until the first token */
    uint64_t prefill_left;   /* by the model of the engine */
    uint64_t modelled_ms;    /* when the model was through with it */
    bool is_short;
    uint64_t arrived_ms;
    uint64_t deadline_ms;
    uint64_t order_ms; /* the lowest goes first */
    uint64_t offered_ms;
    uint64_t ended_ms;
    uint64_t detached_ms; /* when its last link went; 0 if it has one */
    GSequenceIter *place; /* in the queue, NULL if not queued */
    GSequenceIter *due;   /* among what waits for a time, NULL if not */
    uint64_t due_ms;

    /* From the grant; freed when the work has ended at the endpoint. */
    char *method;
    char *path;
    char *content_type;
    char *memory_parts;
    uint64_t body_bytes;
    GByteArray *body;

    struct answer *answer;
    bool at_endpoint;  /* started there, and its end is not reported yet */
    bool acknowledged; /* its entry has seen the end */
    bool not_run;      /* that end was: it never starts */
    bool prefilling;   /* held, and no first token yet */
    void *job;
};

struct work *work_create(const struct message *reserve, uint64_t link,
                         uint64_t now_ms);
void work_destroy(struct work *work);

/* Takes what a grant says. */
void work_set_grant(struct work *work, const struct message *grant,
                    uint64_t now_ms);
/* Frees what only running work needs. */
void work_free_request(struct work *work);

bool work_has_link(const struct work *work, uint64_t link);
void work_add_link(struct work *work, uint64_t link);
void work_drop_link(struct work *work, uint64_t link, uint64_t now_ms);

#endif
