#include "core/cold.h"

#include <glib.h>
#include <math.h>

#include "core/rendezvous.h"

/* Requests that are sent within 1.1 s may arrive within one second: the bound
   holds where they arrive, and some are later than others by a connection
   that is opened or a packet that is sent again. */
static const double window_s = 1.1;
/* Least part of the endpoint's rate that is used, however small the bound. */
static const double min_rate_share = 0.5;

void
cold_set(struct cold *cold, uint64_t until_ms, uint64_t now_ms)
{
    if (now_ms >= cold->until_ms) {
        cold->rate = (struct endpoint_limit){.saved_ms = now_ms};
    }
    cold->until_ms = until_ms > now_ms ? until_ms : 0;
}

/* Within a window each sharer sends what its part of the rate allows and one
   request that it may have saved up. As many share as the bound leaves room
   for beside the whole rate; if it leaves none, the rate is lowered for one.
   No more share than the requests of a second, since each begins with nothing
   saved and would wait longer than that for its first one. */
struct cold_share
cold_share_among(const struct cold_bound *bound, size_t gateways)
{
    double most = bound->per_s * bound->overage + bound->slack;
    double sharers = floor(most - bound->per_s * window_s);
    struct cold_share share;

    sharers = MIN(sharers, floor(bound->per_s));
    sharers = CLAMP(sharers, 1.0, (double)MAX(gateways, 1));
    share.sharers = (uint32_t)sharers;
    share.per_s = CLAMP((most - sharers) / window_s,
                        bound->per_s * min_rate_share, bound->per_s);
    return share;
}

struct cold_share
cold_share_of(const struct cold_bound *bound, const char *endpoint,
              const char *own, const char *const *gateways, size_t count)
{
    struct cold_share share = cold_share_among(bound, count);

    if (rendezvous_rank(endpoint, own, gateways, count) >= share.sharers) {
        share.sharers = 0;
    }
    return share;
}

uint64_t
cold_wait_ms(const struct cold *cold, const struct cold_share *share,
             uint64_t now_ms)
{
    struct endpoint_limit rate = cold->rate;

    rate.per_s = share->per_s;
    return endpoint_limit_wait_ms(&rate, share->sharers, now_ms);
}

void
cold_take(struct cold *cold, const struct cold_share *share, uint64_t now_ms)
{
    cold->rate.per_s = share->per_s;
    endpoint_limit_take(&cold->rate, share->sharers, now_ms);
}
