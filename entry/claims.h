#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

#include <stdint.h>

#include "core/claim.h"

/* Claims idempotency keys in the platform's key-value service by
   compare-and-swap, on worker threads. If the response to a write is lost, a
   read finds out whether the write took effect. */

struct claims;
struct loop;
struct worker_pool;

enum claims_outcome {
    CLAIMS_ACQUIRED,      /* the claim is stored; the grant may be sent */
    CLAIMS_HELD_BY_OTHER, /* another request with the same content has it */
    CLAIMS_KEY_REUSED,    /* the key was used for other content */
    /* It is not known whether the claim is stored, since the service doesn't
       respond, the stored value isn't valid, or other writes came first each
       time. No grant may be sent. */
    CLAIMS_STORE_DOWN,
};

struct claims_result {
    enum claims_outcome outcome;
    /* Only for CLAIMS_HELD_BY_OTHER: the other request's claim and the
       modification index of the stored value. */
    struct claim stored;
    uint64_t index;
};

/* ip and port are those of the platform's key-value service. */
struct claims *claims_create(struct loop *loop, struct worker_pool *workers,
                             const char *ip, uint16_t port);

/* Writes the claim under the store key if the stored value has this
   modification index (0: no value), or if it is the claim of an earlier
   attempt of the same request. The index of another request's claim is passed
   to replace it after that request turned out not to have run. Then calls done
   on the loop thread, exactly once. Copies the key and the claim. */
void claims_acquire(struct claims *claims, const char *store_key,
                    const struct claim *claim, uint64_t index,
                    void (*done)(void *data,
                                 const struct claims_result *result,
                                 uint64_t now_ms),
                    void *data);

#endif
