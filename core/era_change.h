#ifndef CORE_ERA_CHANGE_H
#define CORE_ERA_CHANGE_H

#include <stdbool.h>
#include <stdint.h>

/* What a copy of the store may conclude after the store has come back from an
   older copy of itself, in a new era (core/store_revision.h). For some seconds
   its items may be older than what was known before: their writers are yet to
   write them again. Times are in milliseconds of one clock. */

struct era_change {
    uint64_t began_ms;      /* 0: the era has not changed */
    uint64_t list_revision; /* of the first list in the era */
    uint32_t count;         /* changes so far */
};

/* Records that a list of the given revision is the first one in a new era.
   known_revision is that of the copy before; 0: there was none. Returns
   whether the store has come back from an older copy; it has not if nothing,
   or no era, was known before. */
bool era_change_begin(struct era_change *change, uint64_t known_revision,
                      uint64_t list_revision, uint64_t now_ms);

/* Records that a copy that was first filled at filled_ms has a mark that its
   era has just begun. A mark that comes later is that of a process which has
   noticed the era late, and says nothing. Returns whether earlier
   confirmations of the copy no longer count. */
bool era_change_mark(struct era_change *change, uint64_t filled_ms,
                     uint64_t list_revision, uint64_t now_ms);

/* From when on a copy that equals the store has all that was acknowledged
   before the era began: what the store had lost is written again by then. 0:
   always.
 */
uint64_t era_change_complete_ms(const struct era_change *change);

/* Whether an item that is missing may still be written again. */
bool era_change_delays_removals(const struct era_change *change,
                                uint64_t now_ms);

/* Whether an endpoint's registration of that revision may be an old one that
   its writer has replaced or removed before the era began. One that was held
   in an era before remains so. */
bool era_change_is_restored(const struct era_change *change, uint64_t revision,
                            uint64_t now_ms);

#endif
