#ifndef CORE_COLD_H
#define CORE_COLD_H

#include <stddef.h>
#include <stdint.h>

#include "core/endpoint_limit.h"

/* Requests to an endpoint that is cold: it has started a short while ago, or
   was idle, and crashes if it gets many more requests a second than its
   service's configuration says. As with a limit that an endpoint names, a few
   gateways share the rate, and the others send nothing meanwhile. Nothing is
   learnt from other gateways: each knows the endpoint's registration. No
   allocation. Times are in milliseconds of one monotonic clock. */

/* What may reach a cold endpoint in any second, from all gateways together:
   per_s times overage, and slack more. */
struct cold_bound {
    double per_s; /* 0: any number */
    double overage;
    double slack;
};

struct cold {
    uint64_t until_ms; /* 0: it has not said that it is cold */
    /* Requests that this gateway may send while it is cold. */
    struct endpoint_limit rate;
};

/* How the gateways share the bound. */
struct cold_share {
    uint32_t sharers; /* 0: this gateway sends nothing */
    double per_s;     /* of all sharers together */
};

/* Records that the endpoint stays cold until then; 0 or a past time: it is
   warm. One that was not cold before starts with nothing saved. */
void cold_set(struct cold *cold, uint64_t until_ms, uint64_t now_ms);

/* Number of gateways among that many that share a cold endpoint, and the rate
   that they share. */
struct cold_share cold_share_among(const struct cold_bound *bound,
                                   size_t gateways);

/* The share of the gateway own in the endpoint's bound. gateways are the
   addresses of all. */
struct cold_share cold_share_of(const struct cold_bound *bound,
                                const char *endpoint, const char *own,
                                const char *const *gateways, size_t count);

/* How long it is until a sharer may send a request; 0: now. Called only while
   the endpoint is cold, with sharers above 0. */
uint64_t cold_wait_ms(const struct cold *cold, const struct cold_share *share,
                      uint64_t now_ms);

/* Counts a request that is sent now. */
void cold_take(struct cold *cold, const struct cold_share *share,
               uint64_t now_ms);

#endif
