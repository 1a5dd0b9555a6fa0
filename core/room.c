#include "core/room.h"

#include <glib.h>
#include <math.h>

enum {
    /* A prompt that takes less engine time displaces little, so that waiting
       would gain nothing. */
    MIN_WAIT_ENGINE_MS = 1000,
    /* Left between the expected first event and the time limit of a prompt
       that waits although it will be late: the response must follow. */
    LIMIT_MARGIN_MS = 1500,
};

/* Loss, as a share of the prompt's value, above which it waits for a better
   placement. */
static const double acceptable_loss = 0.25;

/* Factors on the expected time to the first event, for its uncertainty: within
   the target, and within the time limit. */
static const double target_factor = 1.1;
static const double limit_factor = 1.5;

/* Price of a millisecond of prefill while all engines are busy: the value per
   millisecond of a prompt of 260,000 tokens on the engines of the first
   deployments. */
static const double saturated_price_per_ms = 0.004;
/* Shares of busy engines at which the price begins and at which it is full: a
   wave of short prompts doubles or triples their number, and needs engines
   without prefill then. */
static const double price_begins = 0.2;
static const double price_full = 0.6;

/* Bound of the distance between ranks that changes a prompt's value, so that
   any priorities give a finite value above 0. */
static const double max_rank_distance = 10.0;
/* Weight of a route's priority among accounts of the same priority. */
static const double route_rank_weight = 0.25;
/* Below 1, so that a route's priority never outweighs an account's. */
static const double max_route_rank = 0.9;
/* Weight of the newest prompt in the mean rank. */
static const double rank_smoothing = 1.0 / 64.0;

static double
price_per_ms(const struct room_prompt *prompt)
{
    double level =
        (prompt->busy_share - price_begins) / (price_full - price_begins);

    return saturated_price_per_ms * CLAMP(level, 0.0, 1.0);
}

/* Whether the prompt is worth the engine time that it takes from others. */
static bool
is_affordable(const struct room_prompt *prompt)
{
    return prompt->value - prompt->own_loss >=
           price_per_ms(prompt) * prompt->engine_ms;
}

/* Whether a prompt that is placed at the next check can have its first event
   within left_ms. */
static bool
can_wait(const struct room_prompt *prompt, double factor, uint64_t left_ms,
         uint32_t margin_ms)
{
    return prompt->may_wait && prompt->engine_ms >= MIN_WAIT_ENGINE_MS &&
           prompt->first_event_ms * factor + ROOM_CHECK_INTERVAL_MS +
                   margin_ms <
               (double)left_ms;
}

/* Time until an engine of mean backlog among the busy ones has run it. The
   price falls with the share of engines that are busy, not with the length of
   their backlogs: a prompt that came back earlier would meet the same price.
 */
static uint32_t
retry_after_ms(const struct room_prompt *prompt)
{
    double busy_share = MAX(prompt->busy_share, price_begins);

    return (uint32_t)MAX(prompt->backlog_ms / busy_share, 1.0);
}

void
room_decide(const struct room_prompt *prompt, struct room_decision *decision)
{
    bool affordable = is_affordable(prompt);
    bool acceptable =
        affordable && prompt->loss <= acceptable_loss * prompt->value;

    *decision = (struct room_decision){.action = ROOM_PLACE};
    if (acceptable) {
        return;
    }
    if (can_wait(prompt, target_factor, prompt->target_left_ms, 0)) {
        decision->action = ROOM_WAIT;
        return;
    }
    if (affordable) {
        return;
    }
    if (can_wait(prompt, limit_factor, prompt->limit_left_ms,
                 LIMIT_MARGIN_MS)) {
        decision->action = ROOM_WAIT;
        return;
    }
    decision->action = ROOM_REFUSE;
    decision->retry_after_ms = retry_after_ms(prompt);
}

bool
room_places_as_new(const struct room_prompt *as_new)
{
    return is_affordable(as_new);
}

double
room_rank(bool has_account_priority, uint32_t account_priority,
          uint32_t route_priority)
{
    if (!has_account_priority) {
        return route_priority;
    }
    return account_priority +
           MIN(route_rank_weight * route_priority, max_route_rank);
}

void
room_ranks_record(struct room_ranks *ranks, double rank)
{
    if (!ranks->known) {
        *ranks = (struct room_ranks){.mean = rank, .known = true};
        return;
    }
    ranks->mean += (rank - ranks->mean) * rank_smoothing;
}

double
room_value(const struct room_ranks *ranks, double rank, double plain_value,
           uint64_t waited_ms, uint64_t limit_ms)
{
    double before =
        CLAMP(ranks->mean - rank, -max_rank_distance, max_rank_distance);
    double weight = ranks->known ? exp2(before) : 1.0;
    double waited = (double)waited_ms / (double)MAX(limit_ms, 1);

    if (weight < 1.0) {
        weight += (1.0 - weight) * MIN(waited, 1.0);
    }
    return plain_value * weight;
}
