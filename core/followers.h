#ifndef CORE_FOLLOWERS_H
#define CORE_FOLLOWERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Which gateways follow the platform's store: a few for all, by rendezvous
   hashing, so that every gateway works it out alone. The others ask some of
   these how new their knowledge is, and follow the store themselves while
   nobody tells them in time. Gateways are known by their addresses. */

/* How many follow the store, of so many gateways. */
uint32_t followers_count(size_t gateways);

/* Place of a gateway among all: those below followers_count() follow. */
uint32_t followers_rank(const char *own, const char *const *gateways,
                        size_t count);

/* The followers that own asks for news of the store, not itself. The array
   borrows the names; free it with g_ptr_array_free(). */
struct _GPtrArray *followers_asked(const char *own,
                                   const char *const *gateways, size_t count);

/* Whether the gateway of that rank follows the store itself, now that the
   others' knowledge is at best so old. */
bool followers_needed(uint32_t rank, size_t gateways, uint64_t others_age_ms);

#endif
