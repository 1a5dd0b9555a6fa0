#include "core/endpoint_limit.h"

#include <glib.h>
#include <math.h>

#include "core/rendezvous.h"

static const double ms_per_s = 1000.0;
/* Saved requests that count as one, despite rounding. */
static const double one_request = 1.0 - 1e-6;

uint32_t
endpoint_limit_sharers(const char *endpoint, const char *own,
                       const char *const *gateways, size_t count)
{
    uint32_t sharers =
        (uint32_t)CLAMP(count, 1, (size_t)ENDPOINT_LIMIT_SHARERS);

    return rendezvous_rank(endpoint, own, gateways, count) < sharers ? sharers
                                                                     : 0;
}

/* A limit that was not in force before starts with nothing saved. */
static void
set_limit(struct endpoint_limit *limit, double per_s, uint64_t observed_ms)
{
    if (limit->per_s == 0.0) {
        limit->saved = 0.0;
        limit->saved_ms = observed_ms;
    }
    limit->per_s = per_s;
    limit->observed_ms = observed_ms;
}

bool
endpoint_limit_observe(struct endpoint_limit *limit, double per_s,
                       uint64_t now_ms)
{
    bool changed = limit->per_s != per_s;

    if (per_s == 0.0 && limit->observed_ms == 0) {
        return false;
    }
    limit->own_per_s = per_s;
    limit->own_observed_ms = now_ms;
    set_limit(limit, per_s, now_ms);
    return changed;
}

void
endpoint_limit_learn(struct endpoint_limit *limit, double per_s,
                     uint64_t observed_ms)
{
    if (observed_ms > limit->observed_ms) {
        set_limit(limit, per_s, observed_ms);
    }
}

static double
saved_at(const struct endpoint_limit *limit, uint32_t sharers, uint64_t now_ms)
{
    double passed_s =
        (double)(now_ms - MIN(limit->saved_ms, now_ms)) / ms_per_s;

    return MIN(limit->saved + passed_s * limit->per_s / sharers, 1.0);
}

uint64_t
endpoint_limit_wait_ms(const struct endpoint_limit *limit, uint32_t sharers,
                       uint64_t now_ms)
{
    double saved;

    if (limit->per_s == 0.0) {
        return 0;
    }
    if (sharers == 0) {
        return (uint64_t)ceil(ms_per_s / limit->per_s);
    }
    saved = saved_at(limit, sharers, now_ms);
    if (saved >= one_request) {
        return 0;
    }
    return (uint64_t)ceil((1.0 - saved) * sharers / limit->per_s * ms_per_s);
}

void
endpoint_limit_take(struct endpoint_limit *limit, uint32_t sharers,
                    uint64_t now_ms)
{
    if (limit->per_s == 0.0 || sharers == 0) {
        return;
    }
    limit->saved = MAX(saved_at(limit, sharers, now_ms) - 1.0, 0.0);
    limit->saved_ms = now_ms;
}
