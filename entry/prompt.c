#include "entry/prompt.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "core/prefix.h"

enum {
    DEFAULT_MAX_TOKENS = 256,
    MAX_TOKENS_LIMIT = 1000000,
    TOKEN_ID_BYTES = 4,
};

static bool
append_content(json_t *content, GString *text)
{
    size_t i;
    json_t *part;

    if (json_is_string(content)) {
        g_string_append_len(text, json_string_value(content),
                            (gssize)json_string_length(content));
        return true;
    }
    if (!json_is_array(content)) {
        return false;
    }
    json_array_foreach(content, i, part)
    {
        json_t *piece = json_object_get(part, "text");

        if (json_is_string(piece)) {
            g_string_append(text, json_string_value(piece));
        }
    }
    return true;
}

static bool
append_messages(json_t *messages, GString *text)
{
    size_t i;
    json_t *message;

    json_array_foreach(messages, i, message)
    {
        const char *role = json_string_value(json_object_get(message, "role"));

        if (role == NULL) {
            return false;
        }
        g_string_append_printf(text, "<%s>", role);
        if (!append_content(json_object_get(message, "content"), text)) {
            return false;
        }
    }
    return json_array_size(messages) > 0;
}

static void
append_token_ids(json_t *ids, GString *text)
{
    size_t i;
    json_t *id;

    json_array_foreach(ids, i, id)
    {
        uint32_t value = (uint32_t)json_integer_value(id);

        g_string_append_len(text, (const char *)&value, TOKEN_ID_BYTES);
    }
}

static bool
read_text(json_t *body, GString *text, struct prompt *out, const char **why)
{
    json_t *prompt = json_object_get(body, "prompt");
    json_t *messages = json_object_get(body, "messages");

    if (json_is_string(prompt)) {
        return append_content(prompt, text);
    }
    if (json_is_array(prompt) && json_array_size(prompt) > 0 &&
        json_is_integer(json_array_get(prompt, 0))) {
        out->exact_tokens = json_array_size(prompt);
        append_token_ids(prompt, text);
        return true;
    }
    if (json_is_array(messages) && append_messages(messages, text)) {
        return true;
    }
    *why = "\"prompt\" needs a text or token ids, or \"messages\" a list of "
           "messages with role and content";
    return false;
}

static bool
read_options(json_t *body, struct prompt *out, const char **why)
{
    json_t *stream = json_object_get(body, "stream");
    json_t *max_tokens = json_object_get(body, "max_tokens");

    if (stream != NULL && !json_is_boolean(stream)) {
        *why = "\"stream\" needs true or false";
        return false;
    }
    out->streamed = json_is_true(stream);
    out->max_tokens = DEFAULT_MAX_TOKENS;
    if (max_tokens == NULL) {
        return true;
    }
    if (!json_is_integer(max_tokens) || json_integer_value(max_tokens) < 1 ||
        json_integer_value(max_tokens) > MAX_TOKENS_LIMIT) {
        *why = "\"max_tokens\" needs a number from 1 to 1000000";
        return false;
    }
    out->max_tokens = (uint64_t)json_integer_value(max_tokens);
    return true;
}

static bool
read_body(json_t *body, struct prompt *out, const char **why)
{
    const char *model = json_string_value(json_object_get(body, "model"));
    GString *text;
    bool ok;

    if (!json_is_object(body)) {
        *why = "the body is not a JSON object";
        return false;
    }
    if (model == NULL) {
        *why = "\"model\" needs a name";
        return false;
    }
    text = g_string_new(NULL);
    ok = read_text(body, text, out, why) && read_options(body, out, why);
    if (ok) {
        out->model = g_strdup(model);
        out->text_bytes = text->len;
        out->prefix_count = prefix_hashes(text->str, text->len, out->prefixes,
                                          MESSAGE_MAX_PREFIXES);
    }
    g_string_free(text, TRUE);
    return ok;
}

bool
prompt_parse(const uint8_t *body, size_t bytes, struct prompt *out,
             const char **why)
{
    json_t *json = json_loadb((const char *)body, bytes, 0, NULL);
    bool ok;

    memset(out, 0, sizeof(*out));
    ok = read_body(json, out, why);
    json_decref(json);
    return ok;
}

void
prompt_clear(struct prompt *prompt)
{
    g_free(prompt->model);
    memset(prompt, 0, sizeof(*prompt));
}

uint64_t
prompt_tokens(const struct prompt *prompt, uint64_t bytes_per_token)
{
    if (prompt->exact_tokens != 0) {
        return prompt->exact_tokens;
    }
    return prompt->text_bytes / bytes_per_token + 1;
}
