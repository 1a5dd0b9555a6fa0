#include "gateway/explain_query.h"

#include <glib.h>
#include <string.h>

static const char *const names[] = {
    "method",        "host",   "path",       "account",     "prompt_tokens",
    "output_tokens", "prefix", "body_bytes", "deadline_ms", NULL};

static bool
has_unknown_name(GHashTable *values)
{
    GHashTableIter iter;
    gpointer name;

    g_hash_table_iter_init(&iter, values);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (!g_strv_contains(names, name)) {
            return true;
        }
    }
    return false;
}

/* Leaves *out if the parameter is missing. */
static bool
read_number(GHashTable *values, const char *name, uint64_t max, uint64_t *out)
{
    const char *text = g_hash_table_lookup(values, name);

    return text == NULL ||
           g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL);
}

static const char *
read_numbers(GHashTable *values, struct explain_question *question)
{
    struct request_metadata *metadata = &question->metadata;
    uint64_t body_bytes = 0;
    uint64_t deadline_ms = 0;

    if (!read_number(values, "prompt_tokens", UINT32_MAX,
                     &metadata->prompt_tokens)) {
        return "prompt_tokens is no number";
    }
    if (!read_number(values, "output_tokens", UINT32_MAX,
                     &metadata->max_output_tokens)) {
        return "output_tokens is no number";
    }
    if (!read_number(values, "body_bytes", UINT32_MAX, &body_bytes)) {
        return "body_bytes is no number";
    }
    if (!read_number(values, "deadline_ms", UINT32_MAX, &deadline_ms)) {
        return "deadline_ms is no number";
    }
    question->body_bytes = (uint32_t)body_bytes;
    metadata->time_left_ms = (uint32_t)deadline_ms;
    metadata->has_time_left = g_hash_table_contains(values, "deadline_ms");
    return NULL;
}

static const char *
read_values(GHashTable *values, struct explain_question *question)
{
    const char *path = g_hash_table_lookup(values, "path");
    const char *prefix = g_hash_table_lookup(values, "prefix");

    if (has_unknown_name(values)) {
        return "unknown parameter; a client account is given by its name in "
               "account";
    }
    if (g_hash_table_lookup(values, "host") == NULL) {
        return "host is missing";
    }
    question->metadata.host = g_strdup(g_hash_table_lookup(values, "host"));
    question->metadata.shared_parts =
        g_strsplit(prefix != NULL ? prefix : "", ",", -1);
    question->path = g_strdup(path != NULL ? path : "/");
    question->account = g_strdup(g_hash_table_lookup(values, "account"));
    return read_numbers(values, question);
}

const char *
explain_question_parse(const char *query, struct explain_question *question)
{
    GHashTable *values = g_uri_parse_params(query != NULL ? query : "", -1,
                                            "&", G_URI_PARAMS_NONE, NULL);
    const char *why = "the query is not well-formed";

    *question = (struct explain_question){0};
    if (values != NULL) {
        why = read_values(values, question);
        g_hash_table_unref(values);
    }
    if (why != NULL) {
        explain_question_clear(question);
    }
    return why;
}

void
explain_question_clear(struct explain_question *question)
{
    g_free(question->metadata.host);
    g_strfreev(question->metadata.shared_parts);
    g_free(question->path);
    g_free(question->account);
    *question = (struct explain_question){0};
}
