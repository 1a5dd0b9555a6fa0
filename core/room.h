#ifndef CORE_ROOM_H
#define CORE_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/* Decides what becomes of a prompt for which placement has found engines: it
   is placed now, waits at the gateway until engines have more room, or is
   refused. Of these, the one that costs callers least is chosen: a prompt that
   disturbs others waits while it can still meet its target, then pays a price
   for the engine time that it takes from others, by the share of engines that
   are busy. Keeps no state and takes no locks. Values are in units of a plain
   call. */

enum room_action {
    ROOM_PLACE,
    ROOM_WAIT, /* decide again after room_check_interval_ms */
    ROOM_REFUSE,
};

enum {
    /* Between two decisions for a waiting prompt. Several fit into the
       shortest target that is worth waiting for. */
    ROOM_CHECK_INTERVAL_MS = 60,
};

/* A prompt, and what its best placement now would mean. */
struct room_prompt {
    double value;     /* if its targets are met; from room_value() */
    double engine_ms; /* prefill time on one engine alone */
    /* Loss at this prompt if it is placed now, since it may be late, and the
       whole loss, with what others lose. */
    double own_loss;
    double loss;
    double first_event_ms; /* expected time to the first event */
    double busy_share;     /* of the engines, that have prefill to run */
    double backlog_ms;     /* mean prefill that waits at an engine */
    uint64_t target_left_ms;
    uint64_t limit_left_ms;
    bool may_wait; /* there is place among those that wait */
};

struct room_decision {
    enum room_action action;
    /* If it is refused, when there is expected to be room for it. */
    uint32_t retry_after_ms;
};

void room_decide(const struct room_prompt *prompt,
                 struct room_decision *decision);

/* Whether a prompt that has waited is placed although room_decide() refuses
   it: it would be worth its engine time if it arrived now, as as_new describes
   it, with all of its time left. Otherwise a prompt could be refused for its
   wait while a later one of a worse rank is placed. */
bool room_places_as_new(const struct room_prompt *as_new);

/* A prompt's rank, lower first: its client account's priority, or its route's
   if the account has none. The route's priority orders prompts of accounts
   with equal priorities. */
double room_rank(bool has_account_priority, uint32_t account_priority,
                 uint32_t route_priority);

/* Mean rank of the recent prompts of a service. With equal ranks each prompt
   has its plain value. */
struct room_ranks {
    double mean;
    bool known;
};

void room_ranks_record(struct room_ranks *ranks, double rank);

/* Value of a prompt: doubled for each rank that it is before the mean, halved
   for each that it is behind. What a rank takes away comes back while the
   prompt waits, by the share of its time limit, so that ranks delay prompts
   and don't starve them. */
double room_value(const struct room_ranks *ranks, double rank,
                  double plain_value, uint64_t waited_ms, uint64_t limit_ms);

#endif
