#ifndef ENTRY_ENDPOINT_CRASHES_H
#define ENTRY_ENDPOINT_CRASHES_H

#include <stdbool.h>
#include <stdint.h>

/* Keeps requests away from endpoints that they would crash, see
   core/quarantine.h. An endpoint that breaks a request off counts as crashed:
   its agent runs beside it, with no network between them. Each entry knows the
   crashes of its own requests only. Loop thread only. */

struct endpoint_crashes;

/* What of a request may crash endpoints. The parts of a prompt are its
   prefixes, by their hashes (core/prefix.h), longest first; other requests
   have none. */
struct endpoint_crash_suspects {
    const char *request; /* from request_digest() */
    const uint64_t *prefixes;
    uint32_t prefix_count;
};

/* period_ms: how long a crash counts; 0: no request is refused. */
struct endpoint_crashes *endpoint_crashes_create(uint32_t period_ms);

/* The endpoint of the node (its instance) has broken off a request that was
   granted to it at granted_ms. answered: after the first byte of the response,
   which clears the parts. */
void endpoint_crashes_record_broken(
    struct endpoint_crashes *crashes, const char *node,
    const struct endpoint_crash_suspects *suspects, uint64_t granted_ms,
    bool answered, uint64_t now_ms);

/* An engine has sent a part of a response to any prompt. */
void endpoint_crashes_record_bytes(struct endpoint_crashes *crashes,
                                   uint64_t now_ms);

/* An engine has begun to respond to a prompt. */
void
endpoint_crashes_record_served(struct endpoint_crashes *crashes,
                               const struct endpoint_crash_suspects *suspects,
                               uint64_t now_ms);

/* The whole response to a request has come. */
void endpoint_crashes_record_answered(
    struct endpoint_crashes *crashes,
    const struct endpoint_crash_suspects *suspects, uint64_t now_ms);

/* Returns whether the request is to be refused, and sets *left_ms to how long
   that will last without further crashes. */
bool endpoint_crashes_find(struct endpoint_crashes *crashes,
                           const struct endpoint_crash_suspects *suspects,
                           uint64_t now_ms, uint32_t *left_ms);

#endif
