#ifndef CORE_FOLLOWERS_H
#define CORE_FOLLOWERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Chooses the gateways that follow the platform's store (watch it for changes)
   on behalf of all. Rendezvous hashing lets each gateway compute the choice
   alone. The other gateways ask some followers for the age of their copy of
   the store, and follow the store themselves while no copy is recent enough.
   Those of higher capacity come first. Gateways are named by their addresses.
   No state; any thread. */

struct followers_gateway {
    const char *name;
    /* Class of its machine, from followers_capacity(); 0: not known. */
    uint32_t capacity;
};

/* What a gateway may use of its machine; 0: not known. */
struct followers_machine {
    double cores;
    double link_mbps;
};

enum {
    FOLLOWERS_MAX_CAPACITY = 31,
};

/* Class of a machine's capacity, up to FOLLOWERS_MAX_CAPACITY, which is one
   higher for twice the capacity: the lower one of its processors' and its
   link's. Returns 0 if neither is known. */
uint32_t followers_capacity(const struct followers_machine *machine);

/* Number of followers among that many gateways; it may be above their
   number. */
uint32_t followers_count(size_t gateways);

/* Rank of the gateway own, from 0. Gateways ranked below followers_count()
   follow the store. */
uint32_t followers_rank(const struct followers_gateway *own,
                        const struct followers_gateway *gateways,
                        size_t count);

/* The followers that the gateway own asks about the store; own itself is left
   out. The array borrows the names; free it with g_ptr_array_free(). */
struct _GPtrArray *followers_to_ask(const char *own,
                                    const struct followers_gateway *gateways,
                                    size_t count);

/* Whether the gateway of that rank should follow the store now. others_age_ms
   is the age of the most recent copy that another gateway has reported;
   UINT64_MAX: none has. */
bool followers_should_follow(uint32_t rank, size_t gateways,
                             uint64_t others_age_ms);

#endif
