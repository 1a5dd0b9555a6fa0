#ifndef GATEWAY_DIRECTORY_RESTORED_H
#define GATEWAY_DIRECTORY_RESTORED_H

#include <stdbool.h>
#include <stdint.h>

/* What a directory concludes from an item of a store that has come back from
   an older copy of itself (core/era_change.h). */

struct directory;
struct directory_item;
struct store_item;

/* Whether an item that was known in an earlier era is the same in this one. */
bool directory_restored_is_unchanged(const struct directory_item *known,
                                     const struct store_item *item);

/* Whether an endpoint's registration may be an old one that the copy has
   brought back, and would undo what the endpoint has said since: that it has
   left or was about to, that it is cold, or that it has started again. known
   may be NULL. */
bool directory_restored_must_hold(const struct directory *directory,
                                  const struct directory_item *known,
                                  const struct store_item *item,
                                  uint64_t now_ms);

#endif
