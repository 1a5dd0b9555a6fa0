#include "core/followers.h"

#include <glib.h>

#include "core/homes.h"

enum {
    /* Their watches end at different times, so that the best of a few is
       seldom half a second old, and the loss of one goes unnoticed. */
    MIN_FOLLOWERS = 4,
    /* One follower more for so many gateways: what it is asked by the others
       doesn't grow with their number. */
    GATEWAYS_PER_FOLLOWER = 8,
    ASKED = 4,
    /* Two seconds is the shortest time in which the users want a change to be
       in force: this, the spread, one tick and a call of the store fit. */
    MAX_AGE_MS = 1300,
    /* Those that step in do so one after the other, the first may do for
       all. */
    RANK_MS = 10,
    MAX_SPREAD_MS = 200,
};

/* Key under which all gateways are weighed alike. */
static const char store_key[] = "store";

uint32_t
followers_count(size_t gateways)
{
    return (uint32_t)MAX(MIN_FOLLOWERS, gateways / GATEWAYS_PER_FOLLOWER);
}

uint32_t
followers_rank(const char *own, const char *const *gateways, size_t count)
{
    return (uint32_t)homes_rank(store_key, own, gateways, count);
}

GPtrArray *
followers_asked(const char *own, const char *const *gateways, size_t count)
{
    GPtrArray *followers =
        homes_first(store_key, gateways, count, followers_count(count), NULL);
    GPtrArray *asked = homes_first(own, (const char *const *)followers->pdata,
                                   followers->len, ASKED, own);

    g_ptr_array_free(followers, TRUE);
    return asked;
}

bool
followers_needed(uint32_t rank, size_t gateways, uint64_t others_age_ms)
{
    uint32_t count = followers_count(gateways);

    return rank < count ||
           others_age_ms >
               MAX_AGE_MS + MIN((rank - count) * RANK_MS, MAX_SPREAD_MS);
}
