#include "core/era_change.h"

#include "core/store_revision.h"

enum {
    /* Writers have written their items again within two seconds, as the
       platform's users state; half a second is added for the network. */
    REWRITE_MS = 2500,
    /* An endpoint that has ended does not write again. The store removes its
       registration after three missed renewals, 3.6 s. */
    RESTORED_MS = 4000,
};

bool
era_change_begin(struct era_change *change, uint64_t known_revision,
                 uint64_t list_revision, uint64_t now_ms)
{
    if (store_revision_era(known_revision) == 0 ||
        store_revision_era(list_revision) <=
            store_revision_era(known_revision)) {
        return false;
    }
    change->began_ms = now_ms;
    change->list_revision = list_revision;
    change->count++;
    return true;
}

bool
era_change_mark(struct era_change *change, uint64_t filled_ms,
                uint64_t list_revision, uint64_t now_ms)
{
    if (change->began_ms != 0 || now_ms >= filled_ms + REWRITE_MS) {
        return false;
    }
    change->began_ms = now_ms;
    change->list_revision = list_revision;
    return true;
}

uint64_t
era_change_complete_ms(const struct era_change *change)
{
    return change->began_ms != 0 ? change->began_ms + REWRITE_MS : 0;
}

bool
era_change_delays_removals(const struct era_change *change, uint64_t now_ms)
{
    return now_ms < era_change_complete_ms(change);
}

bool
era_change_is_restored(const struct era_change *change, uint64_t revision,
                       uint64_t now_ms)
{
    return revision <= change->list_revision &&
           now_ms < change->began_ms + RESTORED_MS;
}
