#include "core/config_head.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

static void
change_free(gpointer data)
{
    struct config_change *change = data;

    g_free(change->id);
    g_free(change->author);
    g_free(change->time);
    g_free(change->difference);
    g_free(change);
}

struct config_head *
config_head_create(void)
{
    struct config_head *head = g_new0(struct config_head, 1);

    head->change = g_strdup("");
    head->routes = g_strdup("");
    head->pools = g_strdup("");
    head->changes = g_ptr_array_new_with_free_func(change_free);
    return head;
}

void
config_head_destroy(struct config_head *head)
{
    if (head == NULL) {
        return;
    }
    g_free(head->change);
    g_free(head->routes);
    g_free(head->pools);
    g_ptr_array_free(head->changes, TRUE);
    g_free(head);
}

static struct config_change *
copy_change(const struct config_change *change)
{
    struct config_change *copy = g_new0(struct config_change, 1);

    copy->generation = change->generation;
    copy->base = change->base;
    copy->id = g_strdup(change->id);
    copy->author = g_strdup(change->author);
    copy->time = g_strdup(change->time);
    copy->difference = g_strdup(change->difference);
    return copy;
}

static void
decode_change(json_t *json, struct config_head *head)
{
    json_int_t generation;
    json_int_t base;
    const char *id;
    const char *author;
    const char *time;
    const char *difference;
    struct config_change change;

    if (json_unpack(json, "{s:I, s:I, s:s, s:s, s:s, s:s}", "generation",
                    &generation, "base", &base, "id", &id, "author", &author,
                    "time", &time, "difference", &difference) != 0) {
        return;
    }
    change = (struct config_change){(uint64_t)generation, (uint64_t)base,
                                    (char *)id,           (char *)author,
                                    (char *)time,         (char *)difference};
    g_ptr_array_add(head->changes, copy_change(&change));
}

struct config_head *
config_head_decode(const char *json, size_t bytes)
{
    json_t *object = json_loadb(json, bytes, 0, NULL);
    json_int_t generation;
    json_int_t audit_page = 0;
    const char *change;
    const char *routes;
    const char *pools;
    json_t *changes = NULL;
    struct config_head *head = NULL;
    size_t i;
    json_t *item;

    if (json_unpack(object, "{s:I, s:s, s:s, s:s, s?I, s?o}", "generation",
                    &generation, "change", &change, "routes", &routes, "pools",
                    &pools, "audit_page", &audit_page, "changes",
                    &changes) != 0) {
        goto out;
    }
    head = g_new0(struct config_head, 1);
    head->generation = (uint64_t)generation;
    head->change = g_strdup(change);
    head->routes = g_strdup(routes);
    head->pools = g_strdup(pools);
    head->audit_page = (uint64_t)audit_page;
    head->changes = g_ptr_array_new_with_free_func(change_free);
    json_array_foreach(changes, i, item)
    {
        decode_change(item, head);
    }
out:
    json_decref(object);
    return head;
}

static json_t *
encode_change(const struct config_change *change)
{
    return json_pack("{s:I, s:I, s:s, s:s, s:s, s:s}", "generation",
                     (json_int_t)change->generation, "base",
                     (json_int_t)change->base, "id", change->id, "author",
                     change->author, "time", change->time, "difference",
                     change->difference);
}

char *
config_head_encode(const struct config_head *head)
{
    json_t *changes = json_array();
    json_t *object;
    char *text;

    for (guint i = 0; i < head->changes->len; i++) {
        json_array_append_new(
            changes, encode_change(g_ptr_array_index(head->changes, i)));
    }
    object =
        json_pack("{s:I, s:s, s:s, s:s, s:I, s:o}", "generation",
                  (json_int_t)head->generation, "change", head->change,
                  "routes", head->routes, "pools", head->pools, "audit_page",
                  (json_int_t)head->audit_page, "changes", changes);
    text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    return text;
}

const struct config_change *
config_head_find_change(const struct config_head *head, const char *id)
{
    for (guint i = 0; i < head->changes->len; i++) {
        const struct config_change *change =
            g_ptr_array_index(head->changes, i);

        if (g_strcmp0(change->id, id) == 0) {
            return change;
        }
    }
    return NULL;
}

const struct config_change *
config_head_find_generation(const struct config_head *head,
                            uint64_t generation)
{
    for (guint i = 0; i < head->changes->len; i++) {
        const struct config_change *change =
            g_ptr_array_index(head->changes, i);

        if (change->generation == generation) {
            return change;
        }
    }
    return NULL;
}

void
config_head_advance(struct config_head *head,
                    const struct config_change *change, const char *routes,
                    const char *pools)
{
    struct config_change *copy = copy_change(change);

    head->generation++;
    copy->generation = head->generation;
    g_ptr_array_add(head->changes, copy);
    if (head->changes->len > CONFIG_HEAD_MAX_CHANGES) {
        g_ptr_array_remove_index(head->changes, 0);
    }
    g_free(head->change);
    g_free(head->routes);
    g_free(head->pools);
    head->change = g_strdup(change->id);
    head->routes = g_strdup(routes);
    head->pools = g_strdup(pools);
}
