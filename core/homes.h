#ifndef CORE_HOMES_H
#define CORE_HOMES_H

#include <stdbool.h>
#include <stddef.h>

/* Which processes serve a key: the first few by rendezvous hashing, so that
   each works it out alone and one that comes or goes changes only its own
   share. The entries that keep an agent informed of the configuration are
   found so. */

enum {
    HOMES_PER_AGENT = 2
};

/* How many of the listed entries come before own for that key. */
size_t homes_rank(const char *key, const char *own, const char *const *entries,
                  size_t entry_count);

/* The first of them for that key, in order, but for except (NULL: none).
   The array borrows the names; free it with g_ptr_array_free(). */
struct _GPtrArray *homes_first(const char *key, const char *const *entries,
                               size_t entry_count, size_t most,
                               const char *except);

/* Whether own is a home of the agent among the listed entries. An entry that
   is not listed (yet) is compared as if it were. */
bool homes_is_home(const char *agent, const char *own,
                   const char *const *entries, size_t entry_count);

#endif
