#ifndef CORE_ENDPOINT_LIMIT_H
#define CORE_ENDPOINT_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The limit that an endpoint names: the requests a second that it takes from
   all gateways together. A few gateways share it, each with a part of the
   rate; the others send nothing, and learn from these when the limit changes.
   Each keeps the newest observation, its own or another gateway's, until there
   is a newer one. No allocation. Times are in milliseconds of one monotonic
   clock. */

enum {
    /* Gateways that share a limit. Each may have saved up one request, which
       together stay below the five that may exceed a limit. */
    ENDPOINT_LIMIT_SHARERS = 4
};

struct endpoint_limit {
    double per_s;             /* 0: none */
    uint64_t observed_ms;     /* when that held; 0: nothing was observed */
    double own_per_s;         /* as this gateway observed it last */
    uint64_t own_observed_ms; /* 0: it has not observed any limit */
    double saved;             /* requests that may be sent now, at most 1 */
    uint64_t saved_ms;        /* when saved was computed */
};

/* The number of gateways that share an endpoint's limit, or 0 if the gateway
   own is not one of them. gateways are the addresses of all. */
uint32_t endpoint_limit_sharers(const char *endpoint, const char *own,
                                const char *const *gateways, size_t count);

/* Records that an answer to this gateway named the limit (0: none). Returns
   whether the limit has changed. */
bool endpoint_limit_observe(struct endpoint_limit *limit, double per_s,
                            uint64_t now_ms);

/* Records the limit that another gateway observed at observed_ms. */
void endpoint_limit_learn(struct endpoint_limit *limit, double per_s,
                          uint64_t observed_ms);

/* How long it is until a request may be sent; 0: it may be sent now. sharers
   is the number of gateways that share the limit; 0: this one is not among
   them, and may send none. */
uint64_t endpoint_limit_wait_ms(const struct endpoint_limit *limit,
                                uint32_t sharers, uint64_t now_ms);

/* Counts a request that is sent now. */
void endpoint_limit_take(struct endpoint_limit *limit, uint32_t sharers,
                         uint64_t now_ms);

#endif
