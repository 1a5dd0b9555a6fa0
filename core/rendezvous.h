#ifndef CORE_RENDEZVOUS_H
#define CORE_RENDEZVOUS_H

#include <stdbool.h>
#include <stddef.h>

/* Rendezvous hashing (highest random weight): assigns each key to the first
   few processes of a list. Every process computes the same assignment without
   communication, and a process that joins or leaves changes only the keys
   assigned to it. Entries use it to find the agents to which they pass the
   configuration. Processes are given by their instance names. */

enum {
    ENTRIES_PER_AGENT = 2 /* entries that pass the configuration to it */
};

/* Returns how many of the listed entries precede own in the key's order. */
size_t rendezvous_rank(const char *key, const char *own,
                       const char *const *entries, size_t entry_count);

/* Returns at most `most` entries, in the key's order, without except (NULL:
   no exception). The array borrows the names; free it with
   g_ptr_array_free(). */
struct _GPtrArray *rendezvous_select(const char *key,
                                     const char *const *entries,
                                     size_t entry_count, size_t most,
                                     const char *except);

/* Returns whether own is one of the ENTRIES_PER_AGENT entries assigned to the
   agent. own need not be in the list: it is compared as if it were. */
bool rendezvous_is_selected(const char *agent, const char *own,
                            const char *const *entries, size_t entry_count);

#endif
