#include "core/request_digest.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

static const char prefix[] = "request-";

/* With the NUL, so that fields can't run into each other. */
static void
add_text(XXH3_state_t *state, const char *text)
{
    text = text != NULL ? text : "";
    XXH3_128bits_update(state, text, strlen(text) + 1);
}

char *
request_digest(const struct request_content *content)
{
    XXH3_state_t *state = XXH3_createState();
    char *host =
        g_ascii_strdown(content->host != NULL ? content->host : "", -1);
    XXH128_hash_t hash;

    XXH3_128bits_reset(state);
    add_text(state, content->account);
    add_text(state, content->method);
    add_text(state, host);
    add_text(state, content->target);
    XXH3_128bits_update(state, content->body, content->body_bytes);
    hash = XXH3_128bits_digest(state);
    XXH3_freeState(state);
    g_free(host);
    return g_strdup_printf("%s%016" PRIx64 "%016" PRIx64, prefix, hash.high64,
                           hash.low64);
}

bool
request_digest_is_one(const char *text)
{
    return g_str_has_prefix(text, prefix);
}
