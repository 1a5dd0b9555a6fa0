/* Fake of the metadata store of the users' platform, the platform of gateways:
   items with revisions, watches, conditional transactions and leases. Commands
   under /control, with any method, make faults and the writes of operators and
   endpoints: put?key=K (the body is the value), remove?key=K, down?on=1
   (closes all connections without a response), refuse?on=1 (503 to all
   requests), compact (watches from an older revision get 410), expire (ends
   all leases), calls (returns the counts of reads, writes and watches; the
   renewal of a lease counts as a read, its creation as neither), quiet?on=1
   (watches see no changes; a watch that ends has no events and the present
   revision), drill?age_ms=A (the store comes back from a copy of itself that
   is A ms old, without its leases, whose numbers others have now, and in the
   next era; the caller writes again what the operator and the endpoints have
   written since), revision (returns it). Each answer has the era in Store-Era,
   unless it is 0 (--era 0). */

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <time.h>

#include "tests/fakes/fake_server.h"

enum {
    STATUS_CONFLICT = 412,
    STATUS_GONE = 410,
    WAIT_STEP_MS = 50,
    OTHERS_TTL_MS = 600000,
    MS_PER_S = 1000,
    NS_PER_MS = 1000000,
};

struct item {
    char *key;
    char *value; /* in base64; NULL: the item was removed */
    uint64_t revision;
    uint64_t created;
    uint64_t lease;
    uint64_t written_ms;
};

struct users_store {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GHashTable *items;  /* key to struct item */
    GPtrArray *history; /* struct item, by revision; owns all items */
    GHashTable *leases; /* lease number to end in ms, both as pointers */
    uint64_t revision;
    uint64_t compacted_revision;
    uint64_t next_lease;
    uint64_t era; /* 0: answers don't tell it */
    bool down;
    bool refusing;
    bool quiet;
    uint64_t reads;
    uint64_t writes;
    uint64_t watches;
};

static void
free_item(gpointer data)
{
    struct item *item = data;

    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static void
apply_change(struct users_store *store, const char *key, const char *value,
             uint64_t lease)
{
    const struct item *old = g_hash_table_lookup(store->items, key);
    struct item *item = g_new0(struct item, 1);

    store->revision++;
    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = store->revision;
    item->created = old != NULL ? old->created : store->revision;
    item->lease = lease;
    item->written_ms = fake_clock_ms();
    g_ptr_array_add(store->history, item);
    if (value != NULL) {
        g_hash_table_replace(store->items, item->key, item);
    }
    else {
        g_hash_table_remove(store->items, key);
    }
    pthread_cond_broadcast(&store->changed);
}

static json_t *
item_json(const struct item *item)
{
    if (item->value == NULL) {
        return json_pack("{s:s, s:I, s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "tombstone", 1);
    }
    return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "created", (json_int_t)item->created, "lease",
                     (json_int_t)item->lease);
}

static void
respond_json(struct fake_response *response, json_t *json)
{
    response->content_type = "application/json";
    response->body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
}

static const char *
query_text(const struct fake_request *request, const char *name)
{
    const char *text = MHD_lookup_connection_value(
        request->connection, MHD_GET_ARGUMENT_KIND, name);

    return text != NULL ? text : "";
}

static gboolean
has_ended(gpointer lease, gpointer end, gpointer now_ms)
{
    (void)lease;
    return GPOINTER_TO_SIZE(end) <= *(const uint64_t *)now_ms;
}

/* Removes the leases that have ended and their items. */
static void
expire_leases(struct users_store *store, uint64_t now_ms)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    GPtrArray *ended = g_ptr_array_new();

    g_hash_table_foreach_remove(store->leases, has_ended, &now_ms);
    g_hash_table_iter_init(&iter, store->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct item *item = value;

        if (item->lease != 0 &&
            !g_hash_table_contains(store->leases,
                                   GSIZE_TO_POINTER(item->lease))) {
            g_ptr_array_add(ended, key);
        }
    }
    for (guint i = 0; i < ended->len; i++) {
        apply_change(store, g_ptr_array_index(ended, i), NULL, 0);
    }
    g_ptr_array_free(ended, TRUE);
}

static void
list_range(struct users_store *store, const struct fake_request *request,
           struct fake_response *response)
{
    const char *prefix = query_text(request, "prefix");
    json_t *items = json_array();
    GHashTableIter iter;
    gpointer value;

    store->reads++;
    g_hash_table_iter_init(&iter, store->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item *item = value;

        if (g_str_has_prefix(item->key, prefix)) {
            json_array_append_new(items, item_json(item));
        }
    }
    respond_json(response,
                 json_pack("{s:o, s:b, s:I}", "items", items, "truncated", 0,
                           "store_revision", (json_int_t)store->revision));
}

static json_t *
events_after(const struct users_store *store, const char *prefix,
             uint64_t after)
{
    json_t *events = json_array();

    for (guint i = 0; i < store->history->len; i++) {
        const struct item *item = g_ptr_array_index(store->history, i);

        if (item->revision > after && g_str_has_prefix(item->key, prefix)) {
            json_array_append_new(events, item_json(item));
        }
    }
    return events;
}

static void
wait_step(struct users_store *store)
{
    struct timespec until;
    int64_t ns;

    clock_gettime(CLOCK_REALTIME, &until);
    ns = until.tv_nsec + (int64_t)WAIT_STEP_MS * NS_PER_MS;
    until.tv_sec += ns / ((int64_t)MS_PER_S * NS_PER_MS);
    until.tv_nsec = ns % ((int64_t)MS_PER_S * NS_PER_MS);
    pthread_cond_timedwait(&store->changed, &store->lock, &until);
}

static void
watch(struct users_store *store, const struct fake_request *request,
      struct fake_response *response)
{
    const char *prefix = query_text(request, "prefix");
    uint64_t after = fake_query_number(request, "after", 0);
    uint64_t end_ms =
        fake_clock_ms() + fake_query_number(request, "wait_ms", 0);
    json_t *events = events_after(store, prefix, after);
    uint64_t era = store->era;

    store->reads++;
    store->watches++;
    while ((store->quiet || json_array_size(events) == 0) &&
           fake_clock_ms() < end_ms && !store->down && store->era == era &&
           after >= store->compacted_revision) {
        wait_step(store);
        json_decref(events);
        events = events_after(store, prefix, after);
    }
    if (store->quiet) {
        json_array_clear(events);
    }
    if (after < store->compacted_revision || after > store->revision ||
        store->era != era) {
        json_decref(events);
        response->status = STATUS_GONE;
        return;
    }
    response->drop = store->down;
    respond_json(response,
                 json_pack("{s:o, s:I}", "events", events, "store_revision",
                           (json_int_t)store->revision));
}

static bool
conditions_hold(const struct users_store *store, const json_t *rows)
{
    const json_t *row;
    size_t i;

    json_array_foreach(rows, i, row)
    {
        const struct item *item = g_hash_table_lookup(
            store->items, json_string_value(json_object_get(row, "key")));
        uint64_t expected =
            (uint64_t)json_integer_value(json_object_get(row, "revision"));

        if ((item != NULL ? item->revision : 0) != expected) {
            return false;
        }
    }
    return true;
}

static void
commit(struct users_store *store, const json_t *json,
       struct fake_response *response)
{
    const json_t *row;
    size_t i;

    store->writes++;
    if (!conditions_hold(store, json_object_get(json, "precondition"))) {
        response->status = STATUS_CONFLICT;
        return;
    }
    json_array_foreach(json_object_get(json, "set_keys"), i, row)
    {
        apply_change(
            store, json_string_value(json_object_get(row, "key")),
            json_string_value(json_object_get(row, "value")),
            (uint64_t)json_integer_value(json_object_get(row, "lease")));
    }
    json_array_foreach(json_object_get(json, "remove"), i, row)
    {
        apply_change(store, json_string_value(row), NULL, 0);
    }
    respond_json(response,
                 json_pack("{s:I}", "revision", (json_int_t)store->revision));
}

static void
set_lease(struct users_store *store, uint64_t lease, uint64_t ttl_ms)
{
    g_hash_table_insert(store->leases, GSIZE_TO_POINTER(lease),
                        GSIZE_TO_POINTER(fake_clock_ms() + ttl_ms));
}

static void
create_lease(struct users_store *store, const json_t *json,
             struct fake_response *response)
{
    json_int_t ttl_ms = json_integer_value(json_object_get(json, "ttl_ms"));
    uint64_t lease = ++store->next_lease;

    set_lease(store, lease, (uint64_t)ttl_ms);
    respond_json(response, json_pack("{s:I, s:I}", "lease", (json_int_t)lease,
                                     "ttl_ms", ttl_ms));
}

static void
renew_lease(struct users_store *store, const char *number,
            struct fake_response *response)
{
    enum {
        RENEWED_TTL_MS = 6000
    };
    uint64_t lease = g_ascii_strtoull(number, NULL, 10);

    store->reads++;
    if (!g_hash_table_contains(store->leases, GSIZE_TO_POINTER(lease))) {
        response->status = MHD_HTTP_NOT_FOUND;
        return;
    }
    set_lease(store, lease, RENEWED_TTL_MS);
    respond_json(response, json_pack("{s:i}", "ttl_ms", RENEWED_TTL_MS));
}

/* Removes the items that were written within the last age_ms, and those under
   a lease, brings back what they replaced, and gives out their revisions
   again.
 */
static void
come_back_from_copy(struct users_store *store, uint64_t age_ms)
{
    uint64_t copied_ms = fake_clock_ms() - age_ms;

    g_hash_table_remove_all(store->leases);
    g_hash_table_remove_all(store->items);
    while (store->history->len > 0) {
        guint last = store->history->len - 1;
        const struct item *item = g_ptr_array_index(store->history, last);

        if (item->written_ms <= copied_ms) {
            break;
        }
        store->revision = item->revision - 1;
        g_ptr_array_remove_index(store->history, last);
    }
    for (guint i = 0; i < store->history->len; i++) {
        struct item *item = g_ptr_array_index(store->history, i);

        if (item->value == NULL || item->lease != 0) {
            g_hash_table_remove(store->items, item->key);
        }
        else {
            g_hash_table_replace(store->items, item->key, item);
        }
    }
    store->compacted_revision =
        MIN(store->compacted_revision, store->revision);
    for (uint64_t lease = 1; lease <= store->next_lease; lease++) {
        set_lease(store, lease, OTHERS_TTL_MS);
    }
    store->era++;
}

static void
control(struct users_store *store, const struct fake_request *request,
        const char *command, struct fake_response *response)
{
    const char *key = query_text(request, "key");

    if (strcmp(command, "put") == 0) {
        char *value = g_base64_encode(request->body->data, request->body->len);

        apply_change(store, key, value, 0);
        g_free(value);
    }
    else if (strcmp(command, "remove") == 0) {
        apply_change(store, key, NULL, 0);
    }
    else if (strcmp(command, "down") == 0) {
        store->down = fake_query_number(request, "on", 1) != 0;
    }
    else if (strcmp(command, "refuse") == 0) {
        store->refusing = fake_query_number(request, "on", 1) != 0;
    }
    else if (strcmp(command, "compact") == 0) {
        store->compacted_revision = store->revision + 1;
        store->revision++;
    }
    else if (strcmp(command, "expire") == 0) {
        g_hash_table_remove_all(store->leases);
        expire_leases(store, fake_clock_ms());
    }
    else if (strcmp(command, "quiet") == 0) {
        store->quiet = fake_query_number(request, "on", 1) != 0;
    }
    else if (strcmp(command, "drill") == 0) {
        come_back_from_copy(store, fake_query_number(request, "age_ms", 0));
    }
    else if (strcmp(command, "revision") == 0) {
        response->body = g_strdup_printf("{\"revision\":%lu}\n",
                                         (unsigned long)store->revision);
    }
    else if (strcmp(command, "calls") == 0) {
        response->body = g_strdup_printf(
            "{\"reads\":%lu,\"writes\":%lu,\"watches\":%lu}\n",
            (unsigned long)store->reads, (unsigned long)store->writes,
            (unsigned long)store->watches);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
    pthread_cond_broadcast(&store->changed);
}

static void
serve_post(struct users_store *store, const struct fake_request *request,
           const char *call, struct fake_response *response)
{
    json_t *json = json_loadb((const char *)request->body->data,
                              request->body->len, 0, NULL);

    if (strcmp(call, "kv-txn") == 0) {
        commit(store, json, response);
    }
    else if (strcmp(call, "kv-lease") == 0) {
        create_lease(store, json, response);
    }
    else if (g_str_has_prefix(call, "kv-keep/")) {
        renew_lease(store, call + strlen("kv-keep/"), response);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
    json_decref(json);
}

static void
serve_call(struct users_store *store, const struct fake_request *request,
           const char *call, struct fake_response *response)
{
    expire_leases(store, fake_clock_ms());
    if (store->down) {
        response->drop = true;
    }
    else if (store->refusing) {
        response->status = MHD_HTTP_SERVICE_UNAVAILABLE;
    }
    else if (strcmp(call, "kv-range") == 0) {
        list_range(store, request, response);
    }
    else if (strcmp(call, "kv-watch") == 0) {
        watch(store, request, response);
    }
    else {
        serve_post(store, request, call, response);
    }
}

static void
handle(void *data, const struct fake_request *request,
       struct fake_response *response)
{
    struct users_store *store = data;
    const char *path = request->path;

    pthread_mutex_lock(&store->lock);
    if (g_str_has_prefix(path, "/control/")) {
        control(store, request, path + strlen("/control/"), response);
    }
    else if (g_str_has_prefix(path, "/dandelionfork/")) {
        serve_call(store, request, path + strlen("/dandelionfork/"), response);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
    if (store->era > 0) {
        char *era = g_strdup_printf("%lu", (unsigned long)store->era);

        response->headers[0] =
            (struct fake_header_line){"Store-Era", g_intern_string(era)};
        g_free(era);
    }
    pthread_mutex_unlock(&store->lock);
}

int
main(int argc, char **argv)
{
    struct fake_address address;
    static struct users_store store = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .changed = PTHREAD_COND_INITIALIZER,
        .revision = 1,
        .era = 1,
    };
    static const char *const names[] = {"era"};

    store.items = g_hash_table_new(g_str_hash, g_str_equal);
    store.history = g_ptr_array_new_with_free_func(free_item);
    store.leases = g_hash_table_new(NULL, NULL);
    address = fake_parse_arguments(argc, argv, names, &store.era, 1);
    return fake_serve(&address, handle, &store);
}
