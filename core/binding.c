#include "core/binding.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum {
    DEFAULT_RETRY_AFTER_MS = 1000,
    /* Pause before looking again after every candidate has refused with a
       reason that passes quickly. */
    REROUTE_PAUSE_MS = 50,
};

enum binding_state {
    BINDING_IDLE,
    BINDING_OPEN,     /* reservations are out, nothing is granted */
    BINDING_CLAIMING, /* an offer is taken, the key's claim is on its way */
    BINDING_PAUSED,   /* before the next attempt */
    BINDING_BOUND,    /* granted to one node */
    BINDING_DONE,
};

enum candidate_state {
    CANDIDATE_UNUSED,
    CANDIDATE_RESERVED,
    CANDIDATE_REFUSED,
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
    uint64_t resume_at_ms; /* end of a pause */
    struct candidate candidates[BINDING_MAX_CANDIDATES];
    size_t candidate_count;
    size_t used_count;
    uint32_t failed[BINDING_MAX_CANDIDATES]; /* nodes that broke it */
    size_t failed_count;
    enum reason refusal; /* the one that says most */
    uint32_t retry_after_ms;

    uint32_t offered_node; /* whose offer waits for its claim */
    uint64_t offered_incarnation;
    uint32_t bound_node;
    uint32_t bound_attempt; /* another request's, if joined */
    uint64_t bound_incarnation;
    uint64_t lost_ms; /* when the link went away, 0 if it is there */
    bool has_head;
    bool delivered; /* the caller has seen a part of the answer */
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

/* What the whole attempt ended with, once no candidate is left. */
static void
note_refusal(struct binding *binding, enum reason reason,
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
        note_refusal(binding, REASON_LINK_LOST, 0);
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
passes_quickly(enum reason reason)
{
    return reason == REASON_LEAVING || reason == REASON_OLD_GENERATION ||
           reason == REASON_LINK_LOST || reason == REASON_ENDPOINT_FAILED ||
           reason == REASON_STALE_GRANT;
}

static void
pause_attempt(struct binding *binding, uint32_t pause_ms, uint64_t now_ms)
{
    binding->state = BINDING_PAUSED;
    binding->resume_at_ms = now_ms + pause_ms;
}

/* Goes on with the next candidates, with a new attempt, or gives up. */
static void
look_further(struct binding *binding, uint64_t now_ms)
{
    if (binding->used_count < binding->candidate_count) {
        widen(binding, binding->settings.widen_step, now_ms);
    }
    if (reserved_count(binding) > 0) {
        return;
    }
    if (passes_quickly(binding->refusal) &&
        binding->attempt < binding->settings.max_attempts &&
        now_ms + REROUTE_PAUSE_MS < binding->deadline_ms) {
        pause_attempt(binding, REROUTE_PAUSE_MS, now_ms);
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
        if (binding->failed[i] == node) {
            return true;
        }
    }
    return false;
}

static void
note_failed(struct binding *binding, uint32_t node)
{
    if (!has_failed(binding, node) &&
        binding->failed_count < BINDING_MAX_CANDIDATES) {
        binding->failed[binding->failed_count++] = node;
    }
}

/* Keeps the order otherwise. Returns how many have not failed. */
static size_t
put_failed_last(const struct binding *binding, uint32_t *nodes, size_t count)
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
    size_t sound_count;

    binding->state = BINDING_OPEN;
    binding->attempt++;
    binding->used_count = 0;
    binding->refusal = REASON_NONE;
    binding->lost_ms = 0;
    binding->candidate_count = binding->ops.candidates(
        binding->context, binding->attempt, nodes, max);
    sound_count = put_failed_last(binding, nodes, binding->candidate_count);
    for (size_t i = 0; i < binding->candidate_count; i++) {
        binding->candidates[i].node = nodes[i];
        binding->candidates[i].state = CANDIDATE_UNUSED;
    }
    /* A node that broke this request is asked again only if the others have
       no room soon: it might be the quickest to offer. */
    widen(
        binding,
        (uint32_t)MIN(binding->settings.first_candidates, MAX(sound_count, 1)),
        now_ms);
    if (reserved_count(binding) == 0) {
        look_further(binding, now_ms);
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
forget_answer(struct binding *binding)
{
    binding->has_head = false;
    binding->received_bytes = 0;
    XXH64_reset(binding->checksum, 0);
    binding->ops.restart(binding->context);
}

/* What can be said of bound work that has not ended in order. */
static enum outcome
bound_outcome(const struct binding *binding)
{
    return binding->has_head ? OUTCOME_RAN : OUTCOME_UNKNOWN;
}

/* The bound attempt came to nothing. Work that did not run, or that may run
   twice, is tried again while the caller has seen nothing of it. */
static void
fail_attempt(struct binding *binding, enum outcome outcome, enum reason reason,
             uint64_t now_ms)
{
    bool safe = outcome == OUTCOME_NOT_RUN || binding->request.repeatable;

    note_failed(binding, binding->bound_node);
    if (safe && !binding->delivered && now_ms < binding->deadline_ms &&
        binding->attempt < binding->settings.max_attempts &&
        binding->ops.may_retry(binding->context)) {
        forget_answer(binding);
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
take_offer(struct binding *binding, uint32_t node, uint64_t incarnation,
           const struct message *message, uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (binding->state != BINDING_OPEN ||
        message->attempt != binding->attempt || candidate == NULL ||
        candidate->state != CANDIDATE_RESERVED) {
        bool is_granted = node == binding->bound_node &&
                          message->attempt == binding->bound_attempt;
        bool is_claimed = binding->state == BINDING_CLAIMING &&
                          node == binding->offered_node &&
                          message->attempt == binding->attempt;

        if (!is_granted && !is_claimed) {
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
take_refusal(struct binding *binding, uint32_t node,
             const struct message *message, uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (binding->state != BINDING_OPEN ||
        message->attempt != binding->attempt || candidate == NULL ||
        candidate->state != CANDIDATE_RESERVED) {
        return;
    }
    candidate->state = CANDIDATE_REFUSED;
    note_refusal(binding, (enum reason)message->reason,
                 message->retry_after_ms);
    look_further(binding, now_ms);
}

static void
take_chunk(struct binding *binding, const struct message *message)
{
    uint64_t end = message->offset + message->data_bytes;
    size_t skip;

    /* A gap shows in the checksum of the end; what is repeated is dropped. */
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
take_end(struct binding *binding, const struct message *message,
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
take_answer(struct binding *binding, uint32_t node, uint64_t incarnation,
            const struct message *message, uint64_t now_ms)
{
    if (binding->state != BINDING_BOUND || node != binding->bound_node ||
        incarnation != binding->bound_incarnation ||
        message->attempt != binding->bound_attempt) {
        return;
    }
    binding->lost_ms = 0;
    if (message->type == MESSAGE_HEAD) {
        if (!binding->has_head) {
            binding->has_head = true;
            binding->ops.head(binding->context, message->status,
                              message->content_type);
        }
    }
    else if (message->type == MESSAGE_CHUNK) {
        if (binding->has_head) {
            take_chunk(binding, message);
        }
    }
    else {
        take_end(binding, message, now_ms);
    }
}

void
binding_message(struct binding *binding, uint32_t node, uint64_t incarnation,
                const struct message *message, uint64_t now_ms)
{
    switch (message->type) {
    case MESSAGE_OFFER:
        take_offer(binding, node, incarnation, message, now_ms);
        break;
    case MESSAGE_REFUSE:
        take_refusal(binding, node, message, now_ms);
        break;
    case MESSAGE_HEAD:
    case MESSAGE_CHUNK:
    case MESSAGE_END:
        take_answer(binding, node, incarnation, message, now_ms);
        break;
    default:
        break;
    }
}

static void
give_offer_back(struct binding *binding)
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
    give_offer_back(binding);
    binding->state = BINDING_BOUND;
    binding->attempt = MAX(binding->attempt, attempt);
    binding->bound_attempt = attempt;
    binding->bound_node = node;
    binding->bound_incarnation = incarnation;
    binding->lost_ms = MAX(now_ms, 1);
}

void
binding_join_lost(struct binding *binding)
{
    if (binding->state == BINDING_CLAIMING) {
        give_offer_back(binding);
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
        give_offer_back(binding);
        finish(binding, OUTCOME_NOT_RUN, reason);
        return;
    }
    if (binding->lost_ms != 0) {
        /* The offer went with its link while the claim was made. */
        binding->lost_ms = 0;
        begin_attempt(binding, now_ms);
        return;
    }
    grant(binding, now_ms);
}

static void
lose_candidate(struct binding *binding, uint32_t node, enum reason reason,
               uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (candidate != NULL && candidate->state == CANDIDATE_RESERVED) {
        candidate->state = CANDIDATE_REFUSED;
        note_refusal(binding, reason, 0);
        look_further(binding, now_ms);
    }
}

/* Leaves the bound node alone; it may still have the work. */
static void
give_up_bound(struct binding *binding, uint64_t now_ms)
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
    bool is_claimed =
        binding->state == BINDING_CLAIMING && node == binding->offered_node;

    if (binding->state == BINDING_OPEN) {
        lose_candidate(binding, node, REASON_LINK_LOST, now_ms);
    }
    else if (is_bound && binding->lost_ms != 0 &&
             binding->request.repeatable && !binding->delivered) {
        /* Connecting again has failed too. */
        give_up_bound(binding, now_ms);
    }
    else if ((is_bound || is_claimed) && binding->lost_ms == 0) {
        binding->lost_ms = MAX(now_ms, 1);
    }
}

void
binding_link_silent(struct binding *binding, uint32_t node, uint64_t now_ms)
{
    if (binding->state == BINDING_OPEN) {
        lose_candidate(binding, node, REASON_LINK_LOST, now_ms);
        return;
    }
    if (binding->state != BINDING_BOUND || node != binding->bound_node) {
        return;
    }
    if (binding->request.repeatable && !binding->delivered) {
        give_up_bound(binding, now_ms);
    }
    else if (binding->lost_ms == 0) {
        binding->lost_ms = MAX(now_ms, 1);
    }
}

void
binding_link_up(struct binding *binding, uint32_t node, uint64_t incarnation,
                uint64_t now_ms)
{
    if (binding->state != BINDING_BOUND || node != binding->bound_node ||
        binding->lost_ms == 0) {
        return;
    }
    if (incarnation != binding->bound_incarnation) {
        /* A restarted agent knows nothing of what its predecessor ran. */
        fail_attempt(binding, bound_outcome(binding), REASON_LINK_LOST,
                     now_ms);
        return;
    }
    binding->lost_ms = 0;
    binding->ops.resume(binding->context, node, binding->bound_attempt,
                        binding->received_bytes);
}

void
binding_node_leaving(struct binding *binding, uint32_t node, uint64_t now_ms)
{
    struct candidate *candidate = find_candidate(binding, node);

    if (binding->state != BINDING_OPEN || candidate == NULL ||
        candidate->state != CANDIDATE_RESERVED) {
        return;
    }
    binding->ops.withdraw(binding->context, node, binding->attempt);
    lose_candidate(binding, node, REASON_LEAVING, now_ms);
}

/* Tells every node that may hold something that nobody waits any more. */
static void
release_nodes(struct binding *binding)
{
    switch (binding->state) {
    case BINDING_OPEN:
        withdraw_all_but(binding, NULL);
        break;
    case BINDING_CLAIMING:
        give_offer_back(binding);
        break;
    case BINDING_BOUND:
        binding->ops.cancel(binding->context, binding->bound_node,
                            binding->bound_attempt);
        break;
    case BINDING_IDLE:
    case BINDING_PAUSED:
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

/* A call that can't be repeated waits for its agent up to the time limit:
   only the agent can say whether it ran. */
static uint64_t
patience_end_ms(const struct binding *binding)
{
    if (binding->lost_ms == 0 ||
        (!binding->request.repeatable && !binding->delivered)) {
        return UINT64_MAX;
    }
    return binding->lost_ms + binding->settings.resume_ms;
}

uint64_t
binding_next_ms(const struct binding *binding)
{
    uint64_t next_ms = binding->deadline_ms;

    if (binding->state == BINDING_DONE) {
        return UINT64_MAX;
    }
    if (binding->state == BINDING_OPEN &&
        binding->used_count < binding->candidate_count) {
        next_ms = MIN(next_ms, binding->next_widen_ms);
    }
    else if (binding->state == BINDING_PAUSED) {
        next_ms = MIN(next_ms, binding->resume_at_ms);
    }
    else if (binding->state == BINDING_BOUND) {
        next_ms = MIN(next_ms, patience_end_ms(binding));
    }
    return next_ms;
}

static void
pass_time_limit(struct binding *binding)
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
        pass_time_limit(binding);
    }
    else if (binding->state == BINDING_PAUSED &&
             now_ms >= binding->resume_at_ms) {
        begin_attempt(binding, now_ms);
    }
    else if (binding->state == BINDING_OPEN &&
             now_ms >= binding->next_widen_ms) {
        widen(binding, binding->settings.widen_step, now_ms);
        if (reserved_count(binding) == 0) {
            look_further(binding, now_ms);
        }
    }
    else if (binding->state == BINDING_BOUND &&
             now_ms >= patience_end_ms(binding)) {
        give_up_bound(binding, now_ms);
    }
}
