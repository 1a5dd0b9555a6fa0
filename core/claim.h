#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

/* The claim of an idempotency key, as the platform's service holds it: which
   request was last granted for the key, and to whom. */

struct claim {
    struct request_id id;
    uint32_t attempt;
    char instance[MESSAGE_NAME_BYTES]; /* of the agent */
    uint64_t agent_incarnation;
    uint64_t fingerprint; /* of method, path and body */
};

enum claim_verdict {
    CLAIM_OURS,            /* this very grant: it may be sent */
    CLAIM_OURS_BEFORE,     /* an earlier attempt of the same request */
    CLAIM_OF_OTHER,        /* another request with the same key and content */
    CLAIM_OF_OTHER_CONTENT /* the key was used for something else */
};

/* The key under which the service holds it; free with g_free(). */
char *claim_store_key(const char *account, const char *idempotency_key);

/* JSON text; free with free(). */
char *claim_encode(const struct claim *claim);
bool claim_decode(const char *json, size_t bytes, struct claim *out);

/* What a claim that is there means to ours. */
enum claim_verdict claim_judge(const struct claim *ours,
                               const struct claim *found);

uint64_t claim_fingerprint(const char *method, const char *path,
                           const void *body, size_t body_bytes);

#endif
