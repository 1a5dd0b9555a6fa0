#ifndef CORE_REQUEST_DIGEST_H
#define CORE_REQUEST_DIGEST_H

#include <stdbool.h>
#include <stddef.h>

/* What a request asks for, to recognize it when it comes again under another
   id. Strings are borrowed; NULL counts as empty. */
struct request_content {
    const char *account;
    const char *method;
    const char *host; /* in upper or lower case */
    const char *target;
    const void *body;
    size_t body_bytes;
};

/* Returns "request-" and 32 hexadecimal digits, the same for the same content.
   Not for use against collisions that someone looks for. Free with g_free().
 */
char *request_digest(const struct request_content *content);

/* Whether a text is a digest, and not the id of a prompt's part. */
bool request_digest_is_one(const char *text);

#endif
