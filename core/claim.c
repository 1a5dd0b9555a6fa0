#include "core/claim.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

char *
claim_store_key(const char *account, const char *idempotency_key)
{
    char *text = g_strconcat(account, "\n", idempotency_key, NULL);
    char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
    char *key = g_strconcat("dandelionfork/claims/", hash, NULL);

    g_free(text);
    g_free(hash);
    return key;
}

/* 64-bit values are stored as text, since Jansson's integers are signed. */
static json_t *
hex(uint64_t value)
{
    return json_sprintf("%016" PRIx64, value);
}

static uint64_t
from_hex(const char *text)
{
    return g_ascii_strtoull(text, NULL, 16);
}

char *
claim_encode(const struct claim *claim)
{
    json_t *json = json_pack(
        "{s:o, s:o, s:i, s:s, s:o, s:o}", "entry", hex(claim->id.incarnation),
        "request", hex(claim->id.counter), "attempt", (int)claim->attempt,
        "instance", claim->instance, "incarnation",
        hex(claim->agent_incarnation), "fingerprint", hex(claim->fingerprint));
    char *text = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}

bool
claim_decode(const char *json, size_t bytes, struct claim *out)
{
    json_t *object = json_loadb(json, bytes, 0, NULL);
    const char *entry;
    const char *request;
    const char *instance;
    const char *incarnation;
    const char *fingerprint;
    int attempt;
    bool ok = false;

    memset(out, 0, sizeof(*out));
    if (json_unpack(object, "{s:s, s:s, s:i, s:s, s:s, s:s}", "entry", &entry,
                    "request", &request, "attempt", &attempt, "instance",
                    &instance, "incarnation", &incarnation, "fingerprint",
                    &fingerprint) == 0) {
        out->id.incarnation = from_hex(entry);
        out->id.counter = from_hex(request);
        out->attempt = (uint32_t)attempt;
        g_strlcpy(out->instance, instance, sizeof(out->instance));
        out->agent_incarnation = from_hex(incarnation);
        out->fingerprint = from_hex(fingerprint);
        ok = true;
    }
    json_decref(object);
    return ok;
}

enum claim_match
claim_compare(const struct claim *ours, const struct claim *stored)
{
    if (stored->fingerprint != ours->fingerprint) {
        return CLAIM_KEY_REUSED;
    }
    if (!request_id_equal(stored->id, ours->id)) {
        return CLAIM_OTHER_REQUEST;
    }
    return stored->attempt == ours->attempt ? CLAIM_THIS_ATTEMPT
                                            : CLAIM_EARLIER_ATTEMPT;
}

uint64_t
claim_fingerprint(const char *method, const char *path, const void *body,
                  size_t body_bytes)
{
    uint64_t hash = XXH64(method, strlen(method) + 1, 0);

    hash = XXH64(path, strlen(path) + 1, hash);
    return XXH64(body, body_bytes, hash);
}
