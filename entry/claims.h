#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

#include <stdint.h>

#include "core/claim.h"

/* Claims idempotency keys in the platform's service, by compare-and-swap, on
   worker threads. A write whose reply was lost is settled by reading. */

struct claims;
struct loop;
struct worker_pool;

enum claims_outcome {
    CLAIMS_TAKEN,         /* ours: the grant may be sent */
    CLAIMS_OF_OTHER,      /* found tells who has it, index its version */
    CLAIMS_OTHER_CONTENT, /* the key was used for another request */
    CLAIMS_STORE_DOWN,    /* not known; nothing may be granted */
};

struct claims_result {
    enum claims_outcome outcome;
    struct claim found;
    uint64_t index;
};

struct claims *claims_create(struct loop *loop, struct worker_pool *workers,
                             const char *ip, uint16_t port);

/* Writes the claim under the store key if its version is index (0: not there),
   or if an earlier attempt of the same request has it. done runs on the loop
   thread, always. */
void claims_take(struct claims *claims, const char *store_key,
                 const struct claim *claim, uint64_t index,
                 void (*done)(void *data, const struct claims_result *result,
                              uint64_t now_ms),
                 void *data);

#endif
