#include "core/binding.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum {
    DEFAULT_RETRY_AFTER_MS = 1000,
    /* Delay of the next attempt after every candidate refused and the reason
       is a transient one. */
    BACKOFF_MS = 50,
};

enum binding_state {
    BINDING_IDLE,      /* before binding_start() */
    BINDING_RESERVING, /* reservations are sent, nothing is granted */
    BINDING_CLAIMING,  /* an offer is accepted, the key is being claimed */
    BINDING_BACKOFF,   /* waits to start the next attempt */
    BINDING_BOUND,     /* granted to one node */
    BINDING_DONE,
};

enum candidate_state {
    CANDIDATE_UNUSED,
    CANDIDATE_RESERVED,
    CANDIDATE_REFUSED, /* or unreachable, or draining */
};

struct candidate {
    uint32_t node;
    enum candidate_state state;
};

struct binding {
    struct binding_settings settings;
    struct binding_request request;
    struct binding_ops ops;
    void *context;
    enum binding_state state;
    uint32_t attempt;
    uint64_t deadline_ms;
    uint64_t next_widen_ms;
    uint64_t next_attempt_ms; /* when BINDING_BACKOFF ends */
    struct candidate candidates[BINDING_MAX_CANDIDATES];
    size_t candidate_count;
    size_t used_count; /* candidates at which a reservation was tried */
    /* Nodes at which an attempt failed after its grant. */
    uint32_t failed_nodes[BINDING_MAX_CANDIDATES];
    size_t failed_count;
    enum reason refusal;     /* the first reason, but overloaded if any was */
    uint32_t retry_after_ms; /* for the caller; 0: the default */

    uint32_t offered_node; /* whose offer was accepted */
    uint64_t offered_incarnation;
    uint32_t bound_node;
    uint32_t bound_attempt; /* another request's, if joined */
    uint64_t bound_incarnation;
    uint64_t link_lost_ms; /* when the link was lost, 0 if it is up */
    bool has_head;
    bool delivered; /* the caller has received a part of the body */
    uint64_t received_bytes;
    XXH64_state_t *checksum;
};

struct binding *
binding_create(const struct binding_settings *settings,
               const struct binding_request *request,
               const struct binding_ops *ops, void *context)
{
    struct binding *binding = g_new0(struct binding, 1);

    binding->settings = *settings;
    binding->request = *request;
    binding->ops = *ops;
    binding->context = context;
    binding->checksum = XXH64_createState();
    XXH64_reset(binding->checksum, 0);
    return binding;
}

void
binding_destroy(struct binding *binding)
{
    if (binding == NULL) {
        return;
    }
    XXH64_freeState(binding->checksum);
    g_free(binding);
}

bool
binding_is_done(const struct binding *binding)
{
    return binding->state == BINDING_DONE;
}

uint32_t
binding_attempt(const struct binding *binding)
{
    return binding->attempt;
}

uint32_t
binding_bound_attempt(const struct binding *binding)
{
    return binding->bound_attempt;
}

bool
binding_bound_node(const struct binding *binding, uint32_t *node)
{
    *node = binding->bound_node;
    return binding->state == BINDING_BOUND;
}

uint64_t
binding_received_bytes(const struct binding *binding)
{
    return binding->received_bytes;
}

static uint32_t
budget_ms(const struct binding *binding, uint64_t now_ms)
{
    return now_ms < binding->deadline_ms
               ? (uint32_t)(binding->deadline_ms - now_ms)
               : 0;
}

static void
withdraw_all_but(struct binding *binding, const struct candidate *kept)
{
    for (size_t i = 0; i < binding->used_count; i++) {
        struct candidate *candidate = &binding->candidates[i];

        if (candidate != kept && candidate->state == CANDIDATE_RESERVED) {
            binding->ops.withdraw(binding->context, candidate->node,
                                  binding->attempt);
        }
    }
}

static void
finish(struct binding *binding, enum outcome outcome, enum reason reason)
{
    struct binding_result result = {
        .complete = reason == REASON_NONE,
        .outcome = outcome,
        .reason = reason,
    };

    if (reason != REASON_NONE) {
        result.retry_after_ms = binding->retry_after_ms != 0
                                    ? binding->retry_after_ms
                                    : DEFAULT_RETRY_AFTER_MS;
    }
    binding->state = BINDING_DONE;
    binding->ops.finish(binding->context, &result);
}

/* Keeps the reason and the retry time that the caller gets if no candidate is
   left. */
static void
record_refusal(struct binding *binding, enum reason reason,
               uint32_t retry_after_ms)
{
    if (binding->refusal == REASON_NONE || reason == REASON_OVERLOADED) {
        binding->refusal = reason;
    }
    if (retry_after_ms != 0 && (binding->retry_after_ms == 0 ||
                                retry_after_ms < binding->retry_after_ms)) {
        binding->retry_after_ms = retry_after_ms;
    }
}

static bool
reserve_next(struct binding *binding, uint64_t now_ms)
{
    struct candidate *candidate = &binding->candidates[binding->used_count++];

    if (!binding->ops.reserve(binding->context, candidate->node,
                              binding->attempt, budget_ms(binding, now_ms))) {
        candidate->state = CANDIDATE_REFUSED;
        record_refusal(binding, REASON_LINK_LOST, 0);
        return false;
    }
    candidate->state = CANDIDATE_RESERVED;
    return true;
}

static void
widen(struct binding *binding, uint32_t count, uint64_t now_ms)
{
    while (count > 0 && binding->used_count < binding->candidate_count) {
        if (reserve_next(binding, now_ms)) {
            count--;
        }
    }
    binding->next_widen_ms = now_ms + binding->settings.widen_ms;
}

static size_t
reserved_count(const struct binding *binding)
{
    size_t count = 0;

    for (size_t i = 0; i < binding->used_count; i++) {
        if (binding->candidates[i].state == CANDIDATE_RESERVED) {
            count++;
        }
    }
    return count;
}

static bool
is_transient(enum reason reason)
{
    return reason == REASON_LEAVING || reason == REASON_OLD_GENERATION ||
           reason == REASON_LINK_LOST || reason == REASON_ENDPOINT_FAILED ||
           reason == REASON_STALE_GRANT;
}

static void
schedule_attempt(struct binding *binding, uint32_t delay_ms, uint64_t now_ms)
{
    binding->state = BINDING_BACKOFF;
    binding->next_attempt_ms = now_ms + delay_ms;
}

/* Reserves at the next candidates; if there are none, schedules a new attempt
   or ends the request. */
static void
try_next_candidates(struct binding *binding, uint64_t now_ms)
{
    if (binding->used_count < binding->candidate_count) {
        widen(binding, binding->settings.widen_step, now_ms);
    }
    if (reserved_count(binding) > 0) {
        return;
    }
    if (is_transient(binding->refusal) &&
        binding->attempt < binding->settings.max_attempts &&
        now_ms + BACKOFF_MS < binding->deadline_ms) {
        schedule_attempt(binding, BACKOFF_MS, now_ms);
        return;
    }
    finish(binding, OUTCOME_NOT_RUN,
           binding->refusal == REASON_NONE ? REASON_NO_ENDPOINT
                                           : binding->refusal);
}

static bool
has_failed(const struct binding *binding, uint32_t node)
{
    for (size_t i = 0; i < binding->failed_count; i++) {
        if (binding->failed_nodes[i] == node) {
            return true;
        }
    }
    return false;
}

static void
record_failed_node(struct binding *binding, uint32_t node)
{
    if (!has_failed(binding, node) &&
        binding->failed_count < BINDING_MAX_CANDIDATES) {
        binding->failed_nodes[binding->failed_count++] = node;
    }
}

/* Moves nodes that failed this request to the end, otherwise in the same
   order. Returns the number of the others. */
static size_t
move_failed_last(const struct binding *binding, uint32_t *nodes, size_t count)
{
    uint32_t last[BINDING_MAX_CANDIDATES];
    size_t last_count = 0;
    size_t kept = 0;

    for (size_t i = 0; i < count; i++) {
        if (has_failed(binding, nodes[i])) {
            last[last_count++] = nodes[i];
        }
        else {
            nodes[kept++] = nodes[i];
        }
    }
    memcpy(nodes + kept, last, last_count * sizeof(*last));
    return kept;
}

static void
begin_attempt(struct binding *binding, uint64_t now_ms)
{
    uint32_t nodes[BINDING_MAX_CANDIDATES];
    size_t max = MIN(binding->settings.max_candidates, BINDING_MAX_CANDIDATES);
    size_t unfailed_count;

    binding->state = BINDING_RESERVING;
    binding->attempt++;
    binding->used_count = 0;
    binding->refusal = REASON_NONE;
    binding->link_lost_ms = 0;
    binding->candidate_count = binding->ops.candidates(
        binding->context, binding->attempt, nodes, max);
    unfailed_count =
        move_failed_last(binding, nodes, binding->candidate_count);
    for (size_t i = 0; i < binding->candidate_count; i++) {
        binding->candidates[i].node = nodes[i];
        binding->candidates[i].state = CANDIDATE_UNUSED;
    }
    /* A node that failed this request gets no reservation at first,
       since it might be the first to offer. It gets one only if the other
       nodes don't offer soon. */
    widen(binding,
          (uint32_t)MIN(binding->settings.first_candidates,
                        MAX(unfailed_count, 1)),
          now_ms);
    if (reserved_count(binding) == 0) {
        try_next_candidates(binding, now_ms);
    }
}

void
binding_start(struct binding *binding, uint64_t now_ms)
{
    g_assert(binding->state == BINDING_IDLE);
    binding->deadline_ms = now_ms + binding->request.time_limit_ms;
    begin_attempt(binding, now_ms);
}

static void
reset_response(struct binding *binding)
{
    binding->has_head = false;
    binding->received_bytes = 0;
    XXH64_reset(binding->checksum, 0);
    binding->ops.restart(binding->context);
}

/* The outcome of bound work whose end has not arrived. */
static enum outcome
bound_outcome(const struct binding *binding)
{
    return binding->has_head ? OUTCOME_RAN : OUTCOME_UNKNOWN;
}

/* Handles the failure of the bound attempt. Work that did not run, or that may
   run twice, is retried unless the caller has received a part of the body. */
static void
fail_attempt(struct binding *binding, enum outcome outcome, enum reason reason,
             uint64_t now_ms)
{
    bool safe = outcome == OUTCOME_NOT_RUN || binding->request.repeatable;

    record_failed_node(binding, binding->bound_node);
    if (safe && !binding->delivered && now_ms < binding->deadline_ms &&
        binding->attempt < binding->settings.max_attempts &&
        binding->ops.may_retry(binding->context)) {
        reset_response(binding);
        begin_attempt(binding, now_ms);
        return;
    }
    finish(binding, outcome, reason);
}

static void
grant(struct binding *binding, uint64_t now_ms)
{
    binding->state = BINDING_BOUND;
    binding->bound_node = binding->offered_node;
    binding->bound_incarnation = binding->offered_incarnation;
    binding->bound_attempt = binding->attempt;
    binding->ops.grant(binding->context, binding->bound_node, binding->attempt,
                       budget_ms(binding, now_ms));
}

static struct candidate *
find_candidate(struct binding *binding, uint32_t node)
{
    for (size_t i = 0; i < binding->used_count; i++) {
        if (binding->candidates[i].node == node) {
            return &binding->candidates[i];
        }
    }
    return NULL;
}

static void
handle_offer(struct binding *binding, uint32_t node, uint64_t incarnation,
             const struct message *message, uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (binding->state != BINDING_RESERVING ||
        message->attempt != binding->attempt || candidate == NULL ||
        candidate->state != CANDIDATE_RESERVED) {
        bool is_granted = node == binding->bound_node &&
                          message->attempt == binding->bound_attempt;
        bool is_claiming = binding->state == BINDING_CLAIMING &&
                           node == binding->offered_node &&
                           message->attempt == binding->attempt;

        if (!is_granted && !is_claiming) {
            binding->ops.withdraw(binding->context, node, message->attempt);
        }
        return;
    }
    withdraw_all_but(binding, candidate);
    binding->offered_node = node;
    binding->offered_incarnation = incarnation;
    if (binding->request.keyed) {
        binding->state = BINDING_CLAIMING;
        binding->ops.claim(binding->context, node, binding->attempt);
        return;
    }
    grant(binding, now_ms);
}

static void
handle_refusal(struct binding *binding, uint32_t node,
               const struct message *message, uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (binding->state != BINDING_RESERVING ||
        message->attempt != binding->attempt || candidate == NULL ||
        candidate->state != CANDIDATE_RESERVED) {
        return;
    }
    candidate->state = CANDIDATE_REFUSED;
    record_refusal(binding, (enum reason)message->reason,
                   message->retry_after_ms);
    try_next_candidates(binding, now_ms);
}

static void
handle_chunk(struct binding *binding, const struct message *message)
{
    uint64_t end = message->offset + message->data_bytes;
    size_t skip;

    /* Repeated bytes are dropped. A chunk after a gap is dropped too; the
       length and the checksum in the end message then reveal the gap. */
    if (message->offset > binding->received_bytes ||
        end <= binding->received_bytes) {
        return;
    }
    skip = (size_t)(binding->received_bytes - message->offset);
    XXH64_update(binding->checksum, message->data + skip,
                 message->data_bytes - skip);
    binding->received_bytes = end;
    binding->delivered = binding->request.streamed;
    binding->ops.data(binding->context, message->data + skip,
                      message->data_bytes - skip);
}

static void
handle_end(struct binding *binding, const struct message *message,
           uint64_t now_ms)
{
    if (message->retry_after_ms != 0) {
        binding->retry_after_ms = message->retry_after_ms;
    }
    if (message->reason != REASON_NONE) {
        fail_attempt(binding, (enum outcome)message->outcome,
                     (enum reason)message->reason, now_ms);
        return;
    }
    if (!binding->has_head || message->offset != binding->received_bytes ||
        message->checksum != XXH64_digest(binding->checksum)) {
        fail_attempt(binding, OUTCOME_RAN, REASON_ENDPOINT_FAILED, now_ms);
        return;
    }
    finish(binding, OUTCOME_RAN, REASON_NONE);
}

static void
handle_response(struct binding *binding, uint32_t node, uint64_t incarnation,
                const struct message *message, uint64_t now_ms)
{
    if (binding->state != BINDING_BOUND || node != binding->bound_node ||
        incarnation != binding->bound_incarnation ||
        message->attempt != binding->bound_attempt) {
        return;
    }
    binding->link_lost_ms = 0;
    if (message->type == MESSAGE_HEAD) {
        if (!binding->has_head) {
            binding->has_head = true;
            binding->ops.head(binding->context, message->status,
                              message->content_type);
        }
    }
    else if (message->type == MESSAGE_CHUNK) {
        if (binding->has_head) {
            handle_chunk(binding, message);
        }
    }
    else {
        handle_end(binding, message, now_ms);
    }
}

void
binding_message(struct binding *binding, uint32_t node, uint64_t incarnation,
                const struct message *message, uint64_t now_ms)
{
    switch (message->type) {
    case MESSAGE_OFFER:
        handle_offer(binding, node, incarnation, message, now_ms);
        break;
    case MESSAGE_REFUSE:
        handle_refusal(binding, node, message, now_ms);
        break;
    case MESSAGE_HEAD:
    case MESSAGE_CHUNK:
    case MESSAGE_END:
        handle_response(binding, node, incarnation, message, now_ms);
        break;
    default:
        break;
    }
}

static void
decline_offer(struct binding *binding)
{
    binding->ops.withdraw(binding->context, binding->offered_node,
                          binding->attempt);
}

void
binding_join(struct binding *binding, uint32_t node, uint32_t attempt,
             uint64_t incarnation, uint64_t now_ms)
{
    if (binding->state != BINDING_CLAIMING) {
        return;
    }
    decline_offer(binding);
    binding->state = BINDING_BOUND;
    binding->attempt = MAX(binding->attempt, attempt);
    binding->bound_attempt = attempt;
    binding->bound_node = node;
    binding->bound_incarnation = incarnation;
    /* The next binding_link_up() then resumes the response. */
    binding->link_lost_ms = MAX(now_ms, 1);
}

void
binding_join_failed(struct binding *binding)
{
    if (binding->state == BINDING_CLAIMING) {
        decline_offer(binding);
        finish(binding, OUTCOME_UNKNOWN, REASON_LINK_LOST);
    }
}

void
binding_claimed(struct binding *binding, bool ours, enum reason reason,
                uint64_t now_ms)
{
    if (binding->state != BINDING_CLAIMING) {
        return;
    }
    if (!ours) {
        decline_offer(binding);
        finish(binding, OUTCOME_NOT_RUN, reason);
        return;
    }
    if (binding->link_lost_ms != 0) {
        /* The link was lost during the claim, and the offer with it. */
        binding->link_lost_ms = 0;
        begin_attempt(binding, now_ms);
        return;
    }
    grant(binding, now_ms);
}

static void
drop_candidate(struct binding *binding, uint32_t node, enum reason reason,
               uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (candidate != NULL && candidate->state == CANDIDATE_RESERVED) {
        candidate->state = CANDIDATE_REFUSED;
        record_refusal(binding, reason, 0);
        try_next_candidates(binding, now_ms);
    }
}

/* Cancels the bound attempt, which the node may still run, and treats it as
   failed. */
static void
cancel_bound(struct binding *binding, uint64_t now_ms)
{
    binding->ops.cancel(binding->context, binding->bound_node,
                        binding->bound_attempt);
    fail_attempt(binding, bound_outcome(binding), REASON_LINK_LOST, now_ms);
}

void
binding_link_down(struct binding *binding, uint32_t node, uint64_t now_ms)
{
    bool is_bound =
        binding->state == BINDING_BOUND && node == binding->bound_node;
    bool is_claiming =
        binding->state == BINDING_CLAIMING && node == binding->offered_node;

    if (binding->state == BINDING_RESERVING) {
        drop_candidate(binding, node, REASON_LINK_LOST, now_ms);
    }
    else if (is_bound && binding->link_lost_ms != 0 &&
             binding->request.repeatable && !binding->delivered) {
        /* The link was lost before, and reconnecting failed. */
        cancel_bound(binding, now_ms);
    }
    else if ((is_bound || is_claiming) && binding->link_lost_ms == 0) {
        binding->link_lost_ms = MAX(now_ms, 1);
    }
}

void
binding_link_silent(struct binding *binding, uint32_t node, uint64_t now_ms)
{
    if (binding->state == BINDING_RESERVING) {
        drop_candidate(binding, node, REASON_LINK_LOST, now_ms);
        return;
    }
    if (binding->state != BINDING_BOUND || node != binding->bound_node) {
        return;
    }
    if (binding->request.repeatable && !binding->delivered) {
        cancel_bound(binding, now_ms);
    }
    else if (binding->link_lost_ms == 0) {
        binding->link_lost_ms = MAX(now_ms, 1);
    }
}

void
binding_link_up(struct binding *binding, uint32_t node, uint64_t incarnation,
                uint64_t now_ms)
{
    if (binding->state != BINDING_BOUND || node != binding->bound_node ||
        binding->link_lost_ms == 0) {
        return;
    }
    if (incarnation != binding->bound_incarnation) {
        /* A restarted agent doesn't know what it ran before the restart. */
        fail_attempt(binding, bound_outcome(binding), REASON_LINK_LOST,
                     now_ms);
        return;
    }
    binding->link_lost_ms = 0;
    binding->ops.resume(binding->context, node, binding->bound_attempt,
                        binding->received_bytes);
}

void
binding_node_draining(struct binding *binding, uint32_t node, uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (binding->state != BINDING_RESERVING || candidate == NULL ||
        candidate->state != CANDIDATE_RESERVED) {
        return;
    }
    binding->ops.withdraw(binding->context, node, binding->attempt);
    drop_candidate(binding, node, REASON_LEAVING, now_ms);
}

/* Withdraws all reservations, declines the offer or cancels the bound work. */
static void
release_nodes(struct binding *binding)
{
    switch (binding->state) {
    case BINDING_RESERVING:
        withdraw_all_but(binding, NULL);
        break;
    case BINDING_CLAIMING:
        decline_offer(binding);
        break;
    case BINDING_BOUND:
        binding->ops.cancel(binding->context, binding->bound_node,
                            binding->bound_attempt);
        break;
    case BINDING_IDLE:
    case BINDING_BACKOFF:
    case BINDING_DONE:
        break;
    }
}

void
binding_abandon(struct binding *binding)
{
    release_nodes(binding);
    binding->state = BINDING_DONE;
}

/* When to stop waiting for a lost link. A request that can't be repeated, and
   of whose response body the caller has received nothing, waits up to the time
   limit, since only the agent knows whether it ran. */
static uint64_t
resume_deadline_ms(const struct binding *binding)
{
    if (binding->link_lost_ms == 0 ||
        (!binding->request.repeatable && !binding->delivered)) {
        return UINT64_MAX;
    }
    return binding->link_lost_ms + binding->settings.resume_ms;
}

void
binding_end_by(struct binding *binding, uint64_t end_ms)
{
    binding->deadline_ms = MIN(binding->deadline_ms, end_ms);
}

uint64_t
binding_next_ms(const struct binding *binding)
{
    uint64_t next_ms = binding->deadline_ms;

    if (binding->state == BINDING_DONE) {
        return UINT64_MAX;
    }
    if (binding->state == BINDING_RESERVING &&
        binding->used_count < binding->candidate_count) {
        next_ms = MIN(next_ms, binding->next_widen_ms);
    }
    else if (binding->state == BINDING_BACKOFF) {
        next_ms = MIN(next_ms, binding->next_attempt_ms);
    }
    else if (binding->state == BINDING_BOUND) {
        next_ms = MIN(next_ms, resume_deadline_ms(binding));
    }
    return next_ms;
}

static void
end_at_time_limit(struct binding *binding)
{
    enum outcome outcome = OUTCOME_NOT_RUN;

    if (binding->state == BINDING_BOUND) {
        outcome = bound_outcome(binding);
    }
    release_nodes(binding);
    finish(binding, outcome, REASON_TIME_LIMIT);
}

void
binding_timeout(struct binding *binding, uint64_t now_ms)
{
    if (binding->state == BINDING_DONE) {
        return;
    }
    if (now_ms >= binding->deadline_ms) {
        end_at_time_limit(binding);
    }
    else if (binding->state == BINDING_BACKOFF &&
             now_ms >= binding->next_attempt_ms) {
        begin_attempt(binding, now_ms);
    }
    else if (binding->state == BINDING_RESERVING &&
             now_ms >= binding->next_widen_ms) {
        widen(binding, binding->settings.widen_step, now_ms);
        if (reserved_count(binding) == 0) {
            try_next_candidates(binding, now_ms);
        }
    }
    else if (binding->state == BINDING_BOUND &&
             now_ms >= resume_deadline_ms(binding)) {
        cancel_bound(binding, now_ms);
    }
}
