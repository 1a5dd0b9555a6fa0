#ifndef GATEWAY_DIRECTORY_EVACUATION_H
#define GATEWAY_DIRECTORY_EVACUATION_H

/* Operators' orders to evacuate data centres, of a directory. */

struct directory;
struct store_item;

/* Applies an order, or its end if the item was removed. */
void directory_evacuation_apply(struct directory *directory,
                                const struct store_item *item);

/* Logs new orders for data centres that are not known. Called after a whole
   set of items, which may hold the endpoints too. */
void directory_evacuation_check(struct directory *directory);

#endif
