#include "gateway/forward_room.h"

#include <glib.h>

#include "core/catalog.h"
#include "core/placement.h"
#include "core/room.h"
#include "core/room_queue.h"
#include "gateway/directory.h"
#include "gateway/forward_placement.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/relay.h"
#include "gateway/response_head.h"
#include "io/http_message.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "room"

enum {
    /* Of the bodies of waiting prompts. */
    MAX_BYTES = 16 * 1024 * 1024,
    /* Decided per check, so that a check is short: the first ones, and others
       in turn. If only the first ones were, prompts of a low rank could not
       use engines that are of no use to the first ones. */
    FIRST_DECISIONS = 8,
    MAX_DECISIONS = 16,
    /* Between two checks while the gateway drains. Above 0, since the loop
       runs all timers that are due before it serves streams again. */
    DRAIN_INTERVAL_MS = 1,
};

double
forward_room_rank(const struct forward *forward)
{
    const struct catalog_account *account = forward->admitted.account;

    return room_rank(account != NULL && account->has_priority,
                     account != NULL ? account->priority : 0,
                     forward->admitted.route->priority);
}

static const struct room_ranks *
ranks_of(const struct forward *forward)
{
    static const struct room_ranks none;
    const struct room_ranks *ranks = g_hash_table_lookup(
        forward->forwarder->ranks, forward->admitted.service->name);

    return ranks != NULL ? ranks : &none;
}

static void
record_rank(const struct forward *forward)
{
    GHashTable *all = forward->forwarder->ranks;
    const char *service = forward->admitted.service->name;
    struct room_ranks *ranks = g_hash_table_lookup(all, service);

    if (ranks == NULL) {
        ranks = g_new0(struct room_ranks, 1);
        g_hash_table_insert(all, g_strdup(service), ranks);
    }
    room_ranks_record(ranks, forward_room_rank(forward));
}

static uint64_t
waited_ms(const struct forward *forward)
{
    return forward->room_since_ms == 0
               ? 0
               : forward_now_ms(forward) - forward->room_since_ms;
}

double
forward_room_value(const struct forward *forward)
{
    return room_value(ranks_of(forward), forward_room_rank(forward),
                      placement_prompt_value(forward->metadata.prompt_tokens),
                      waited_ms(forward),
                      forward->deadline_ms - forward->started_ms);
}

static double
engine_ms_of(const struct forward *forward)
{
    return engine_model_prefill_ms(&forward->admitted.service->engine,
                                   forward->metadata.prompt_tokens, 1);
}

static uint64_t
left_ms(uint64_t until_ms, uint64_t now_ms)
{
    return until_ms - MIN(until_ms, now_ms);
}

static void
describe(const struct forward *forward,
         const struct placement_request *request,
         const struct placement *placement, struct room_prompt *prompt)
{
    const struct forwarder *forwarder = forward->forwarder;
    uint64_t now_ms = forward_now_ms(forward);
    uint64_t target_ms =
        forward->started_ms + forward->admitted.route->first_event_target_ms;

    *prompt = (struct room_prompt){
        .value = request->value,
        .engine_ms = engine_ms_of(forward),
        .own_loss = placement->own_loss,
        .loss = placement->loss,
        .first_event_ms = placement->first_event_ms,
        .busy_share = placement->busy_share,
        .backlog_ms = placement->backlog_ms,
        .target_left_ms = left_ms(target_ms, now_ms),
        .limit_left_ms = left_ms(forward->deadline_ms, now_ms),
        .may_wait = !forwarder->draining &&
                    room_queue_has_place(forwarder->room, forward->body->len)};
}

static void
arm_timer(struct forwarder *forwarder)
{
    uint64_t interval_ms =
        forwarder->draining ? DRAIN_INTERVAL_MS : ROOM_CHECK_INTERVAL_MS;

    loop_timer_arm(forwarder->room_timer,
                   loop_now_ms(forwarder->deps.loop) + interval_ms);
}

static void
begin_wait(struct forward *forward, const struct room_prompt *prompt)
{
    struct forwarder *forwarder = forward->forwarder;

    if (forward->room_since_ms == 0) {
        forward->room_since_ms = forward_now_ms(forward);
        gateway_counters_count(COUNT_DELAYED);
    }
    forward->room = (struct room_waiting){.rank = forward_room_rank(forward),
                                          .value = prompt->value,
                                          .engine_ms = prompt->engine_ms,
                                          .arrived_ms = forward->started_ms,
                                          .bytes = forward->body->len};
    if (room_queue_length(forwarder->room) == 0) {
        arm_timer(forwarder);
    }
    room_queue_add(forwarder->room, &forward->room);
}

/* Logs the inputs of a decision that was not just to place the prompt. */
static void
log_decision(const struct forward *forward, const struct room_prompt *prompt,
             const char *outcome)
{
    LOG_INFO(
        "decision about a prompt",
        "id=%s outcome=%s rank=%.2f value=%.2f engine_ms=%.0f "
        "loss=%.2f own_loss=%.2f first_ms=%.0f busy=%.2f backlog_ms=%.0f "
        "target_left_ms=%" G_GUINT64_FORMAT " limit_left_ms=%" G_GUINT64_FORMAT
        " waited_ms=%" G_GUINT64_FORMAT " waiting=%u "
        "age_ms=%" G_GUINT64_FORMAT,
        forward_id(forward), outcome, forward_room_rank(forward),
        prompt->value, prompt->engine_ms, prompt->loss, prompt->own_loss,
        prompt->first_event_ms, prompt->busy_share, prompt->backlog_ms,
        prompt->target_left_ms, prompt->limit_left_ms, waited_ms(forward),
        room_queue_length(forward->forwarder->room),
        directory_age_ms(forward->forwarder->deps.directory, loop_clock_ms()));
}

static bool
refuse(struct forward *forward, const struct room_prompt *prompt,
       const struct room_decision *decision)
{
    log_decision(forward, prompt, "refused");
    gateway_counters_count(COUNT_REFUSED_FOR_ROOM);
    forward->expected_wait_ms = decision->retry_after_ms;
    relay_give_up(forward, STATUS_BAD_GATEWAY,
                  "engines are busy with what is worth more");
    return false;
}

static bool
place(struct forward *forward, const struct room_prompt *prompt)
{
    forward->room_admitted = true;
    if (forward->room_since_ms != 0) {
        log_decision(forward, prompt, "placed");
        gateway_counters_add_wait_ms(waited_ms(forward));
    }
    return true;
}

/* Whether the same prompt would be placed if it arrived now. */
static bool
would_be_placed_as_new(const struct forward *forward)
{
    const struct catalog_route *route = forward->admitted.route;
    struct placement_request request;
    struct placement placement;
    struct room_prompt prompt;

    if (forward->room_since_ms == 0) {
        return false;
    }
    forward_choose_as_new(forward, &request, &placement);
    describe(forward, &request, &placement, &prompt);
    prompt.target_left_ms = route->first_event_target_ms;
    prompt.limit_left_ms = forward->deadline_ms - forward->started_ms;
    return placement.count > 0 && room_places_as_new(&prompt);
}

bool
forward_room_decide(const struct forward *forward,
                    const struct placement_request *request,
                    struct room_prompt *prompt, struct room_decision *decision)
{
    if (forward->room_admitted || request->prompt_tokens == 0 ||
        !request->service->has_engine) {
        *decision = (struct room_decision){.action = ROOM_PLACE};
        return false;
    }
    describe(forward, request, &forward->assignment.placement, prompt);
    room_decide(prompt, decision);
    if (decision->action == ROOM_REFUSE && would_be_placed_as_new(forward)) {
        decision->action = ROOM_PLACE;
    }
    return true;
}

bool
forward_room_admits(struct forward *forward,
                    const struct placement_request *request)
{
    struct room_prompt prompt;
    struct room_decision decision;

    if (!forward_room_decide(forward, request, &prompt, &decision)) {
        return true;
    }
    if (forward->room_since_ms == 0) {
        record_rank(forward);
    }
    switch (decision.action) {
    case ROOM_PLACE:
        return place(forward, &prompt);
    case ROOM_WAIT:
        begin_wait(forward, &prompt);
        return false;
    case ROOM_REFUSE:
        return refuse(forward, &prompt, &decision);
    }
    return true;
}

void
forward_room_leave(struct forward *forward)
{
    room_queue_remove(forward->forwarder->room, &forward->room);
}

void
forward_room_check(struct forwarder *forwarder)
{
    struct room_waiting *due[MAX_DECISIONS];
    size_t count = room_queue_first(forwarder->room, due, FIRST_DECISIONS);

    count += room_queue_in_turn(forwarder->room, count, due + count,
                                MAX_DECISIONS - count);

    for (size_t i = 0; i < count; i++) {
        struct forward *forward =
            (struct forward *)((char *)due[i] -
                               offsetof(struct forward, room));

        room_queue_remove(forwarder->room, due[i]);
        forward_dispatch(forward);
    }
    if (room_queue_length(forwarder->room) > 0) {
        arm_timer(forwarder);
    }
}

static void
on_room_timer(void *data, uint64_t now_ms)
{
    (void)now_ms;
    forward_room_check(data);
}

void
forward_room_init(struct forwarder *forwarder)
{
    const struct room_queue_bounds bounds = {
        .max_prompts = forwarder->settings.max_waiting,
        .max_bytes = MAX_BYTES};

    forwarder->room = room_queue_create(&bounds);
    forwarder->room_timer =
        loop_timer_create(forwarder->deps.loop, on_room_timer, forwarder);
    forwarder->ranks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}
