#ifndef GATEWAY_PEER_CHANGES_H
#define GATEWAY_PEER_CHANGES_H

#include <stdbool.h>
#include <stdint.h>

/* The copy of the store on its way from one gateway to another: the messages
   that ask for it and that carry it. Gateways of earlier builds get it in one
   message, others in parts, so that other messages of the link pass in
   between. Loop thread only. */

struct directory;
struct link;
struct message;
struct peer_changes;
struct store_items;

/* Asks for what the directory lacks. features are the bits in the generation
   of the other gateway's hello. */
void peer_changes_ask(struct link *link, const struct directory *directory,
                      uint64_t features);

/* Replies to a CHANGES_ASK or SNAPSHOT_ASK. Sends nothing if the reply to a
   SNAPSHOT_ASK would be longer than a frame, since that would end the link:
   the asker then gets the items from the store. */
void peer_changes_reply(struct link *link, const struct directory *directory,
                        const struct message *request);

/* Collects the parts of replies from one gateway. */
struct peer_changes *peer_changes_create(void);
/* Accepts NULL. */
void peer_changes_destroy(struct peer_changes *changes);

/* Takes a SNAPSHOT or CHANGES message. Returns the items with their revision
   after the last part, to be freed with store_items_destroy(), otherwise NULL.
   A part that does not continue the former ones drops them. Sets *malformed if
   the items could not be decoded. */
struct store_items *peer_changes_take(struct peer_changes *changes,
                                      const struct message *message,
                                      bool *malformed);

#endif
