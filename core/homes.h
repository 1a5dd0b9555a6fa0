#ifndef CORE_HOMES_H
#define CORE_HOMES_H

#include <stdbool.h>
#include <stddef.h>

/* Which entries keep an agent informed of the configuration: a few for each
   agent, by rendezvous hashing, so that every entry works it out alone and
   one that comes or goes changes only its own share. */

enum {
    HOMES_PER_AGENT = 2
};

/* Whether own is a home of the agent among the listed entries. An entry that
   is not listed (yet) is compared as if it were. */
bool homes_is_home(const char *agent, const char *own,
                   const char *const *entries, size_t entry_count);

#endif
