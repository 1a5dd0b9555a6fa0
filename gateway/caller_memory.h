#ifndef GATEWAY_CALLER_MEMORY_H
#define GATEWAY_CALLER_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Counts what is held for callers in the budget of their server, and finds
   memory for their bodies. Without a budget nothing is counted, and there is
   always memory. Loop thread only. */

struct caller;

/* Counts what is held of the caller's response. To be called when that has
   changed. */
void caller_memory_count(struct caller *caller);

/* Counts also what the kernel holds, if the caller has not taken all that is
   queued for it; otherwise the kernel holds only what is on its way. Returns
   whether that is so. */
bool caller_memory_count_kernel(struct caller *caller);

/* Reserves memory for the caller's body; 0 gives it back. Returns false if
   there is none. */
bool caller_memory_reserve(struct caller *caller, uint64_t bytes);

/* Finds memory for a body of so many bytes, if need be that of a body that
   arrives too slowly, whose exchange it ends. Otherwise ends the caller's
   exchange and returns false. */
bool caller_memory_take_body(struct caller *caller, uint64_t bytes);

/* The same for a body without a length, whose memory grows with it. */
bool caller_memory_grow_body(struct caller *caller, size_t body_bytes);

/* Ends an exchange for want of memory: the handlers send a response, or cut
   off the one that has begun. The caller may be freed. */
void caller_give_up(struct caller *caller, const char *why);

#endif
