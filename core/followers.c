#include "core/followers.h"

#include <glib.h>

#include "core/rendezvous.h"

enum {
    /* The followers' watches end at different times. The most recent copy
       among a few is therefore seldom older than half a second, and the loss
       of one follower has no effect. */
    MIN_FOLLOWERS = 4,
    /* Keeps the number of requests to each follower constant as the number of
       gateways grows. */
    GATEWAYS_PER_FOLLOWER = 8,
    MAX_ASKED = 4, /* followers that each gateway asks */
    /* A change must be in force within two seconds, the shortest time that the
       users require. This age, the largest stagger, one timer tick and a call
       to the store fit into that. */
    MAX_AGE_MS = 1300,
    /* The other gateways start to follow one after the other, each later than
       the one ranked before it, since the first one's copy may suffice for
       all. */
    STAGGER_MS = 10,
    MAX_STAGGER_MS = 200,
};

/* Hash key that is the same for all gateways. */
static const char store_key[] = "store";

uint32_t
followers_count(size_t gateways)
{
    return (uint32_t)MAX(MIN_FOLLOWERS, gateways / GATEWAYS_PER_FOLLOWER);
}

uint32_t
followers_rank(const char *own, const char *const *gateways, size_t count)
{
    return (uint32_t)rendezvous_rank(store_key, own, gateways, count);
}

GPtrArray *
followers_to_ask(const char *own, const char *const *gateways, size_t count)
{
    GPtrArray *followers = rendezvous_select(store_key, gateways, count,
                                             followers_count(count), NULL);
    GPtrArray *asked =
        rendezvous_select(own, (const char *const *)followers->pdata,
                          followers->len, MAX_ASKED, own);

    g_ptr_array_free(followers, TRUE);
    return asked;
}

bool
followers_should_follow(uint32_t rank, size_t gateways, uint64_t others_age_ms)
{
    uint32_t count = followers_count(gateways);

    return rank < count ||
           others_age_ms >
               MAX_AGE_MS + MIN((rank - count) * STAGGER_MS, MAX_STAGGER_MS);
}
