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

/* The smallest class of capacity: less than twice this share of a core, or
   this link. A link of 4 Mbit/s carries what a hundredth of a core forwards.
 */
static const double unit_cores = 0.01;
static const double unit_link_mbps = 4.0;

/* Hash key that is the same for all gateways. */
static const char store_key[] = "store";

uint32_t
followers_count(size_t gateways)
{
    return (uint32_t)MAX(MIN_FOLLOWERS, gateways / GATEWAYS_PER_FOLLOWER);
}

uint32_t
followers_capacity(const struct followers_machine *machine)
{
    double units = machine->cores / unit_cores;
    uint32_t capacity = 1;

    if (machine->link_mbps > 0.0) {
        double link_units = machine->link_mbps / unit_link_mbps;

        units = units > 0.0 ? MIN(units, link_units) : link_units;
    }
    if (units <= 0.0) {
        return 0;
    }
    while (units >= 2.0 && capacity < FOLLOWERS_MAX_CAPACITY) {
        units /= 2.0;
        capacity++;
    }
    return capacity;
}

static GPtrArray *
names_of_capacity(const struct followers_gateway *gateways, size_t count,
                  uint32_t capacity)
{
    GPtrArray *names = g_ptr_array_new();

    for (size_t i = 0; i < count; i++) {
        if (gateways[i].capacity == capacity) {
            g_ptr_array_add(names, (gpointer)gateways[i].name);
        }
    }
    return names;
}

uint32_t
followers_rank(const struct followers_gateway *own,
               const struct followers_gateway *gateways, size_t count)
{
    GPtrArray *equal = names_of_capacity(gateways, count, own->capacity);
    uint32_t rank = (uint32_t)rendezvous_rank(
        store_key, own->name, (const char *const *)equal->pdata, equal->len);

    for (size_t i = 0; i < count; i++) {
        rank += gateways[i].capacity > own->capacity ? 1 : 0;
    }
    g_ptr_array_free(equal, TRUE);
    return rank;
}

/* The gateways of the lowest ranks. */
static GPtrArray *
select_followers(const struct followers_gateway *gateways, size_t count)
{
    GPtrArray *followers = g_ptr_array_new();
    size_t most = followers_count(count);

    for (int capacity = FOLLOWERS_MAX_CAPACITY;
         capacity >= 0 && followers->len < most; capacity--) {
        GPtrArray *names =
            names_of_capacity(gateways, count, (uint32_t)capacity);
        GPtrArray *selected =
            rendezvous_select(store_key, (const char *const *)names->pdata,
                              names->len, most - followers->len, NULL);

        g_ptr_array_extend(followers, selected, NULL, NULL);
        g_ptr_array_free(selected, TRUE);
        g_ptr_array_free(names, TRUE);
    }
    return followers;
}

GPtrArray *
followers_to_ask(const char *own, const struct followers_gateway *gateways,
                 size_t count)
{
    GPtrArray *followers = select_followers(gateways, count);
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
