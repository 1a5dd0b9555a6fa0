#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

/* A claim of an idempotency key, as stored in the platform's key-value
   service: the request that was last granted for the key, and the agent it was
   granted to. */

struct claim {
    struct request_id id;
    uint32_t attempt;
    char instance[MESSAGE_NAME_BYTES]; /* the agent's */
    uint64_t agent_incarnation;        /* changes when the agent restarts */
    uint64_t fingerprint;              /* of method, path and body */
};

enum claim_match {
    CLAIM_THIS_ATTEMPT,    /* this grant, which may be sent */
    CLAIM_EARLIER_ATTEMPT, /* an earlier attempt of this request */
    CLAIM_OTHER_REQUEST,   /* another request, same fingerprint */
    CLAIM_KEY_REUSED       /* the key was used for other content */
};

/* Returns the key under which the service stores the claim. Free it with
   g_free(). */
char *claim_store_key(const char *account, const char *idempotency_key);

/* Returns the claim as JSON text. Free it with free(). */
char *claim_encode(const struct claim *claim);
/* Returns false if the text is no claim; *out is then all zero. */
bool claim_decode(const char *json, size_t bytes, struct claim *out);

/* Compares the claim that the service has stored with the one to be made. */
enum claim_match claim_compare(const struct claim *ours,
                               const struct claim *stored);

/* Hash of a request's content. A key may be used again only with the same
   fingerprint. */
uint64_t claim_fingerprint(const char *method, const char *path,
                           const void *body, size_t body_bytes);

#endif
