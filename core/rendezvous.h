#ifndef CORE_RENDEZVOUS_H
#define CORE_RENDEZVOUS_H

#include <stdbool.h>
#include <stddef.h>

/* Rendezvous hashing (highest random weight): each key has its own order of
   the processes in a list and is assigned to the first few. Every process
   computes the same assignment without communication, and a process that joins
   or leaves changes only the keys assigned to it. Entries use it to find the
   agents to which they pass the configuration, and gateways to choose those
   that follow the platform's key-value store. Processes are given by name. */

enum {
    /* entries that pass an agent the configuration */
    RENDEZVOUS_ENTRIES_PER_AGENT = 2
};

/* Returns how many of the listed processes precede own in the key's order. own
   need not be in the list: it is compared as if it were. */
size_t rendezvous_rank(const char *key, const char *own,
                       const char *const *names, size_t name_count);

/* Returns the first processes in the key's order, at most `most`, without
   except (NULL: no exception). The array borrows the names; free it with
   g_ptr_array_free(). */
struct _GPtrArray *rendezvous_select(const char *key, const char *const *names,
                                     size_t name_count, size_t most,
                                     const char *except);

/* Returns whether own is one of the RENDEZVOUS_ENTRIES_PER_AGENT entries
   assigned to the agent. own need not be in the list: it is compared as if it
   were. */
bool rendezvous_is_selected(const char *agent, const char *own,
                            const char *const *entries, size_t entry_count);

#endif
