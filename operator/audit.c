#include "operator/audit.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "io/store.h"

enum {
    MAX_PAGE_BYTES = 768 * 1024,
    MAX_APPEND_ATTEMPTS = 20
};

struct audit_page {
    uint64_t number;
    struct store_value value;
};

static char *
page_key(uint64_t number)
{
    return g_strdup_printf("dandelionfork/audit/%08" G_GUINT64_FORMAT, number);
}

static bool
read_page(struct store *store, uint64_t number, struct audit_page *out,
          GError **error)
{
    char *key = page_key(number);
    bool ok = store_get(store, key, 0, 0, &out->value, error);

    out->number = number;
    g_free(key);
    return ok;
}

/* Finds the last page, from page hint on; finds an empty page 1 if the trail
   has no page yet. */
static bool
find_last_page(struct store *store, uint64_t hint, struct audit_page *out,
               GError **error)
{
    struct audit_page next;

    if (!read_page(store, MAX(hint, 1), out, error)) {
        return false;
    }
    for (;;) {
        if (!read_page(store, out->number + 1, &next, error)) {
            store_value_clear(&out->value);
            return false;
        }
        if (next.value.bytes == NULL) {
            return true;
        }
        store_value_clear(&out->value);
        *out = next;
    }
}

/* Returns whether the page has a line of the change with the result. */
static bool
has_line(const struct audit_page *page, const char *id, const char *result)
{
    char *pattern =
        g_strdup_printf("\"change\":\"%s\",\"result\":\"%s\"", id, result);
    bool found = page->value.bytes != NULL &&
                 strstr(page->value.bytes, pattern) != NULL;

    g_free(pattern);
    return found;
}

static char *
format_line(const struct config_change *change, const char *result,
            const char *why)
{
    json_t *json = json_pack(
        "{s:s, s:s, s:I, s:I, s:s, s:s, s:s, s:s?}", "change", change->id,
        "result", result, "base", (json_int_t)change->base, "generation",
        (json_int_t)change->generation, "author", change->author, "time",
        change->time, "difference",
        change->difference != NULL ? change->difference : "", "why", why);
    char *dumped = json_dumps(json, JSON_COMPACT);
    char *line = g_strconcat(dumped, "\n", NULL);

    free(dumped);
    json_decref(json);
    return line;
}

/* Appends the line to the page, or to a new page if this one is full. */
static enum store_write_result
append_line(struct store *store, struct audit_page *page, const char *line,
            GError **error)
{
    bool full = page->value.count + strlen(line) > MAX_PAGE_BYTES;
    char *key = page_key(full ? page->number + 1 : page->number);
    char *text = full || page->value.bytes == NULL
                     ? g_strdup(line)
                     : g_strconcat(page->value.bytes, line, NULL);
    enum store_write_result result = store_put(
        store, key, text, strlen(text), full ? 0 : page->value.index, error);

    g_free(key);
    g_free(text);
    return result;
}

static bool
append_to_trail(struct store *store, struct config_head *head,
                const struct config_change *change, const char *result,
                const char *why, GError **error)
{
    char *line = format_line(change, result, why);
    bool done = false;

    for (int i = 0; i < MAX_APPEND_ATTEMPTS && !done; i++) {
        struct audit_page page;

        g_clear_error(error);
        if (!find_last_page(store, head->audit_page, &page, error)) {
            continue;
        }
        head->audit_page = page.number;
        /* Finds the line if the response to an earlier write was lost. */
        done = has_line(&page, change->id, result) ||
               append_line(store, &page, line, error) == STORE_WRITTEN;
        store_value_clear(&page.value);
    }
    if (done) {
        g_clear_error(error);
    }
    g_free(line);
    return done;
}

/* Returns whether the trail has the line of an accepted change, which may also
   be on the page before the last. */
static bool
is_in_trail(struct store *store, const struct audit_page *last, const char *id,
            GError **error)
{
    struct audit_page previous;
    bool found;

    if (has_line(last, id, "accepted")) {
        return true;
    }
    if (last->number < 2 ||
        !read_page(store, last->number - 1, &previous, error)) {
        return false;
    }
    found = has_line(&previous, id, "accepted");
    store_value_clear(&previous.value);
    return found;
}

bool
audit_append_missing(struct store *store, struct config_head *head,
                     GError **error)
{
    struct audit_page last;
    GPtrArray *missing = g_ptr_array_new();
    bool ok = true;

    if (!find_last_page(store, head->audit_page, &last, error)) {
        g_ptr_array_free(missing, TRUE);
        return false;
    }
    head->audit_page = last.number;
    /* Lines are appended in the order of generations, so if a change has a
       line, all older ones have theirs. */
    for (guint i = head->changes->len; i > 0; i--) {
        struct config_change *change = g_ptr_array_index(head->changes, i - 1);

        if (is_in_trail(store, &last, change->id, error)) {
            break;
        }
        g_ptr_array_add(missing, change);
    }
    store_value_clear(&last.value);
    for (guint i = missing->len; i > 0 && ok; i--) {
        ok = append_to_trail(store, head, g_ptr_array_index(missing, i - 1),
                             "accepted", NULL, error);
    }
    g_ptr_array_free(missing, TRUE);
    return ok;
}

bool
audit_append_refusal(struct store *store, struct config_head *head,
                     const struct config_change *change, const char *why,
                     GError **error)
{
    return append_to_trail(store, head, change, "refused", why, error);
}

static void
emit_lines(const char *text, const char *change_id,
           void (*on_line)(void *context, const char *json), void *context)
{
    char **lines = g_strsplit(text, "\n", -1);
    char *pattern = change_id != NULL
                        ? g_strdup_printf("\"change\":\"%s\"", change_id)
                        : g_strdup("");

    for (size_t i = 0; lines[i] != NULL; i++) {
        if (lines[i][0] != '\0' && strstr(lines[i], pattern) != NULL) {
            on_line(context, lines[i]);
        }
    }
    g_free(pattern);
    g_strfreev(lines);
}

bool
audit_read(struct store *store, const char *change_id,
           void (*on_line)(void *context, const char *json), void *context,
           GError **error)
{
    for (uint64_t number = 1;; number++) {
        struct audit_page page;

        if (!read_page(store, number, &page, error)) {
            return false;
        }
        if (page.value.bytes == NULL) {
            return true;
        }
        emit_lines(page.value.bytes, change_id, on_line, context);
        store_value_clear(&page.value);
    }
}
