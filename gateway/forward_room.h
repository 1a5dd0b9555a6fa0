#ifndef GATEWAY_FORWARD_ROOM_H
#define GATEWAY_FORWARD_ROOM_H

#include <stdbool.h>

/* Lets prompts wait at the gateway, or refuses them, as core/room.h decides.
   The waiting ones are decided again in the order of core/room_queue.h. Loop
   thread only. */

struct forward;
struct forwarder;
struct placement_request;
struct room_decision;
struct room_prompt;

/* Fills the forwarder's fields for waiting prompts. */
void forward_room_init(struct forwarder *forwarder);

/* Value of an admitted request's prompt, by its length, its rank and the time
   that it has waited. */
double forward_room_value(const struct forward *forward);

/* Rank of an admitted request, lower first; see room_rank(). */
double forward_room_rank(const struct forward *forward);

/* Decides about a request for which placement has chosen endpoints, and
   changes nothing. Returns false if there is nothing to decide, so that it is
   sent; *prompt is not filled then. */
bool forward_room_decide(const struct forward *forward,
                         const struct placement_request *request,
                         struct room_prompt *prompt,
                         struct room_decision *decision);

/* Whether the request, for which placement has chosen endpoints, is sent now.
   If not, it waits, and forward_dispatch() is called again, or it has been
   refused and may be freed. A request that was admitted before is always sent:
   its holds or its connection failed, or its stream has begun. */
bool forward_room_admits(struct forward *forward,
                         const struct placement_request *request);

/* The request doesn't wait any more. Called before it is freed. */
void forward_room_leave(struct forward *forward);

/* Decides again for the prompts that wait. */
void forward_room_check(struct forwarder *forwarder);

#endif
