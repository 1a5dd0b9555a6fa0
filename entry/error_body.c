#include "entry/error_body.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/front.h"

enum {
    MS_PER_S = 1000,
    SECONDS_TEXT_BYTES = 16
};

static char *
encode_json(const struct error_body *error)
{
    json_t *object = json_pack("{s:{s:s, s:s, s:s, s:i}}", "error", "code",
                               error->code, "message", error->message,
                               "outcome", outcome_name(error->outcome),
                               "retry_after_ms", (int)error->retry_after_ms);
    char *text = json_dumps(object, JSON_COMPACT);

    json_decref(object);
    return text;
}

void
error_body_respond(struct exchange *exchange, uint32_t status,
                   const struct error_body *error)
{
    GByteArray *body = g_byte_array_new();
    char *text = encode_json(error);
    char seconds[SECONDS_TEXT_BYTES];

    g_byte_array_append(body, (const guint8 *)text, (guint)strlen(text));
    free(text);
    exchange_add_header(exchange, "X-Dandelionfork-Outcome",
                        outcome_name(error->outcome));
    if (error->retry_after_ms != 0) {
        snprintf(seconds, sizeof(seconds), "%u",
                 (error->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
        exchange_add_header(exchange, "Retry-After", seconds);
    }
    exchange_respond(exchange, status, "application/json", body);
}

void
error_body_append_event(const struct error_body *error, GByteArray *out)
{
    char *text = encode_json(error);
    char *event = g_strdup_printf("event: error\ndata: %s\n\n", text);

    g_byte_array_append(out, (const guint8 *)event, (guint)strlen(event));
    g_free(event);
    free(text);
}
