#include "core/homes.h"

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

static uint64_t
weight(const char *agent, const char *entry)
{
    return XXH64(entry, strlen(entry), XXH64(agent, strlen(agent), 0));
}

bool
homes_is_home(const char *agent, const char *own, const char *const *entries,
              size_t entry_count)
{
    uint64_t own_weight = weight(agent, own);
    size_t heavier = 0;

    for (size_t i = 0; i < entry_count && heavier < HOMES_PER_AGENT; i++) {
        if (strcmp(entries[i], own) != 0 &&
            weight(agent, entries[i]) > own_weight) {
            heavier++;
        }
    }
    return heavier < HOMES_PER_AGENT;
}
