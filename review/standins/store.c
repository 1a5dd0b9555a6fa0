/* The platform's metadata store, as the users' PROTOCOL page and their fourth
   letter describe it: items with revisions, watches, transactions, leases, and
   the header Store-Era in all answers.

   Commands for the test, which stand for writes of the operator and of the
   workers and for the drill: PUT /control/put?key=K (the body is the value; no
   answer while the store is away, as for all other calls), POST
   /control/drill?age_ms=A&away_ms=W (the store is away for W ms and comes back
   from a copy that is A ms old; what the operator and the workers wrote since
   is written again), GET /control/state. */

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"

enum {
    STATUS_CONFLICT = 412,
    STATUS_GONE = 410,
    WAIT_STEP_MS = 50,
    NS_PER_MS = 1000000,
    MS_PER_S = 1000,
    /* Of all gateways together, as on the sheet. */
    READS_PER_S = 2000,
    WRITES_PER_S = 400,
    TOO_MANY_REQUESTS = 429,
};

struct item {
    char *key;
    char *value; /* in base64; NULL: removed */
    uint64_t revision;
    uint64_t created;
    uint64_t lease;
    uint64_t written_ms;
};

struct lease {
    uint64_t ttl_ms;
    uint64_t granted_ms;
    uint64_t ends_ms;
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GHashTable *items;  /* key to struct item */
    GPtrArray *history; /* struct item by revision, never freed */
    GHashTable *leases; /* id to struct lease */
    uint64_t revision;
    uint64_t era;
    uint64_t next_lease;
    bool away;
    uint64_t second; /* in which these calls were counted */
    uint64_t reads;
    uint64_t writes;
    uint64_t refused; /* in all */
} store = {.lock = PTHREAD_MUTEX_INITIALIZER,
           .changed = PTHREAD_COND_INITIALIZER,
           .revision = 1,
           .era = 1};

static void
change(const char *key, const char *value, uint64_t lease)
{
    const struct item *old = g_hash_table_lookup(store.items, key);
    struct item *item;

    if (value == NULL && old == NULL) {
        return;
    }
    item = g_new0(struct item, 1);
    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = ++store.revision;
    item->created = old != NULL ? old->created : item->revision;
    item->lease = lease;
    item->written_ms = fake_clock_ms();
    g_ptr_array_add(store.history, item);
    if (value != NULL) {
        g_hash_table_replace(store.items, item->key, item);
    }
    else {
        g_hash_table_remove(store.items, key);
    }
    pthread_cond_broadcast(&store.changed);
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
respond(struct fake_response *response, json_t *json)
{
    response->content_type = "application/json";
    response->body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
}

static const char *
query(const struct fake_request *request, const char *name)
{
    const char *text = MHD_lookup_connection_value(
        request->connection, MHD_GET_ARGUMENT_KIND, name);

    return text != NULL ? text : "";
}

static struct lease *
find_lease(uint64_t id)
{
    return g_hash_table_lookup(store.leases, GSIZE_TO_POINTER(id));
}

static gboolean
lease_has_ended(gpointer id, gpointer lease, gpointer now_ms)
{
    (void)id;
    return ((struct lease *)lease)->ends_ms <= *(const uint64_t *)now_ms;
}

static void
end_leases(void)
{
    uint64_t now_ms = fake_clock_ms();
    GPtrArray *keys = g_ptr_array_new();
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_foreach_remove(store.leases, lease_has_ended, &now_ms);
    g_hash_table_iter_init(&iter, store.items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct item *item = value;

        if (item->lease != 0 && find_lease(item->lease) == NULL) {
            g_ptr_array_add(keys, key);
        }
    }
    for (guint i = 0; i < keys->len; i++) {
        change(g_ptr_array_index(keys, i), NULL, 0);
    }
    g_ptr_array_free(keys, TRUE);
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
    return strcmp((*(struct item *const *)a)->key,
                  (*(struct item *const *)b)->key);
}

/* All items fit on one page. */
static void
range(const struct fake_request *request, struct fake_response *response)
{
    const char *prefix = query(request, "prefix");
    const char *after = query(request, "after");
    GPtrArray *sorted = g_ptr_array_new();
    json_t *items = json_array();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, store.items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(sorted, value);
    }
    g_ptr_array_sort(sorted, by_key);
    for (guint i = 0; i < sorted->len; i++) {
        const struct item *item = g_ptr_array_index(sorted, i);

        if (g_str_has_prefix(item->key, prefix) &&
            strcmp(item->key, after) > 0) {
            json_array_append_new(items, item_json(item));
        }
    }
    g_ptr_array_free(sorted, TRUE);
    respond(response,
            json_pack("{s:o, s:b, s:I}", "items", items, "truncated", 0,
                      "store_revision", (json_int_t)store.revision));
}

static json_t *
events_after(const char *prefix, uint64_t after)
{
    json_t *events = json_array();

    for (guint i = 0; i < store.history->len; i++) {
        const struct item *item = g_ptr_array_index(store.history, i);

        if (item->revision > after && g_str_has_prefix(item->key, prefix)) {
            json_array_append_new(events, item_json(item));
        }
    }
    return events;
}

static void
wait_step(void)
{
    struct timespec until;
    int64_t ns;

    clock_gettime(CLOCK_REALTIME, &until);
    ns = until.tv_nsec + (int64_t)WAIT_STEP_MS * NS_PER_MS;
    until.tv_sec += ns / ((int64_t)MS_PER_S * NS_PER_MS);
    until.tv_nsec = ns % ((int64_t)MS_PER_S * NS_PER_MS);
    pthread_cond_timedwait(&store.changed, &store.lock, &until);
}

static void
watch(const struct fake_request *request, struct fake_response *response)
{
    const char *prefix = query(request, "prefix");
    uint64_t after = fake_query_number(request, "after", 0);
    uint64_t end_ms =
        fake_clock_ms() + fake_query_number(request, "wait_ms", 0);
    uint64_t era = store.era;
    json_t *events;

    if (after > store.revision) {
        response->status = STATUS_GONE;
        return;
    }
    events = events_after(prefix, after);
    while (json_array_size(events) == 0 && fake_clock_ms() < end_ms &&
           !store.away && era == store.era) {
        wait_step();
        json_decref(events);
        events = events_after(prefix, after);
    }
    if (store.away || era != store.era) {
        json_decref(events);
        response->drop = true;
        return;
    }
    respond(response, json_pack("{s:o, s:I}", "events", events,
                                "store_revision", (json_int_t)store.revision));
}

static bool
conditions_hold(const json_t *rows, json_t *present)
{
    bool hold = true;
    const json_t *row;
    size_t i;

    json_array_foreach(rows, i, row)
    {
        const struct item *item = g_hash_table_lookup(
            store.items, json_string_value(json_object_get(row, "key")));
        uint64_t expected =
            (uint64_t)json_integer_value(json_object_get(row, "revision"));

        hold = hold && (item != NULL ? item->revision : 0) == expected;
        if (item != NULL) {
            json_array_append_new(present, item_json(item));
        }
    }
    return hold;
}

static void
commit(const json_t *json, struct fake_response *response)
{
    const json_t *sets = json_object_get(json, "set_keys");
    json_t *present = json_array();
    const json_t *row;
    size_t i;

    if (!conditions_hold(json_object_get(json, "precondition"), present)) {
        response->status = STATUS_CONFLICT;
        respond(response, json_pack("{s:o}", "items", present));
        return;
    }
    json_decref(present);
    json_array_foreach(sets, i, row)
    {
        uint64_t lease =
            (uint64_t)json_integer_value(json_object_get(row, "lease"));

        if (lease != 0 && find_lease(lease) == NULL) {
            response->status = MHD_HTTP_NOT_FOUND;
            return;
        }
    }
    json_array_foreach(sets, i, row)
    {
        change(json_string_value(json_object_get(row, "key")),
               json_string_value(json_object_get(row, "value")),
               (uint64_t)json_integer_value(json_object_get(row, "lease")));
    }
    json_array_foreach(json_object_get(json, "remove"), i, row)
    {
        change(json_string_value(row), NULL, 0);
    }
    respond(response,
            json_pack("{s:I}", "revision", (json_int_t)store.revision));
}

static void
grant(const json_t *json, struct fake_response *response)
{
    struct lease *lease = g_new0(struct lease, 1);

    lease->ttl_ms =
        (uint64_t)json_integer_value(json_object_get(json, "ttl_ms"));
    lease->granted_ms = fake_clock_ms();
    lease->ends_ms = lease->granted_ms + lease->ttl_ms;
    g_hash_table_insert(store.leases, GSIZE_TO_POINTER(++store.next_lease),
                        lease);
    respond(response,
            json_pack("{s:I, s:I}", "lease", (json_int_t)store.next_lease,
                      "ttl_ms", (json_int_t)lease->ttl_ms));
}

static void
keep(const char *id, struct fake_response *response)
{
    struct lease *lease = find_lease(g_ascii_strtoull(id, NULL, 10));

    if (lease == NULL) {
        response->status = MHD_HTTP_NOT_FOUND;
        return;
    }
    lease->ends_ms = fake_clock_ms() + lease->ttl_ms;
    respond(response, json_pack("{s:I}", "ttl_ms", (json_int_t)lease->ttl_ms));
}

static gboolean
lease_is_newer(gpointer id, gpointer lease, gpointer copied_ms)
{
    (void)id;
    return ((struct lease *)lease)->granted_ms > *(const uint64_t *)copied_ms;
}

/* Goes back to the copy of copied_ms. Appends the operator's and the workers'
   later writes to lost, the last one of each key only. */
static void
go_back(uint64_t copied_ms, GPtrArray *lost)
{
    GHashTableIter iter;
    gpointer value;
    guint kept = 0;

    g_hash_table_remove_all(store.items);
    store.revision = 1;
    for (guint i = 0; i < store.history->len; i++) {
        struct item *item = g_ptr_array_index(store.history, i);

        if (item->written_ms > copied_ms) {
            if (g_str_has_prefix(item->key, "op/") ||
                g_str_has_prefix(item->key, "servers/")) {
                for (guint j = 0; j < lost->len; j++) {
                    if (strcmp(
                            ((struct item *)g_ptr_array_index(lost, j))->key,
                            item->key) == 0) {
                        g_ptr_array_remove_index(lost, j);
                        break;
                    }
                }
                g_ptr_array_add(lost, item);
            }
            continue;
        }
        kept = i + 1;
        store.revision = item->revision;
        if (item->value != NULL) {
            g_hash_table_replace(store.items, item->key, item);
        }
        else {
            g_hash_table_remove(store.items, item->key);
        }
    }
    g_ptr_array_set_size(store.history, (gint)kept);
    g_hash_table_foreach_remove(store.leases, lease_is_newer, &copied_ms);
    g_hash_table_iter_init(&iter, store.leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct lease *lease = value;

        lease->ends_ms = fake_clock_ms() + lease->ttl_ms;
    }
}

static void
drill(const struct fake_request *request, struct fake_response *response)
{
    uint64_t age_ms = fake_query_number(request, "age_ms", 0);
    uint64_t away_ms = fake_query_number(request, "away_ms", 0);
    uint64_t copied_ms = fake_clock_ms() - age_ms;
    uint64_t before = store.revision;
    GPtrArray *lost = g_ptr_array_new();
    uint64_t restored;

    store.away = true;
    pthread_cond_broadcast(&store.changed);
    pthread_mutex_unlock(&store.lock);
    usleep((useconds_t)(away_ms * MS_PER_S));
    pthread_mutex_lock(&store.lock);
    go_back(copied_ms, lost);
    restored = store.revision;
    for (guint i = 0; i < lost->len; i++) {
        const struct item *item = g_ptr_array_index(lost, i);

        change(item->key, item->value, 0);
    }
    g_ptr_array_free(lost, TRUE);
    store.era++;
    store.away = false;
    pthread_cond_broadcast(&store.changed);
    response->body = g_strdup_printf(
        "revision %lu before, %lu in the copy, %lu with what is written again",
        (unsigned long)before, (unsigned long)restored,
        (unsigned long)store.revision);
}

static void
post(const struct fake_request *request, const char *call,
     struct fake_response *response)
{
    json_t *json = json_loadb((const char *)request->body->data,
                              request->body->len, 0, NULL);

    if (strcmp(call, "kv-txn") == 0) {
        commit(json, response);
    }
    else if (strcmp(call, "kv-lease") == 0) {
        grant(json, response);
    }
    else if (g_str_has_prefix(call, "kv-keep/")) {
        keep(call + strlen("kv-keep/"), response);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
    json_decref(json);
}

static void
control(const struct fake_request *request, const char *command,
        struct fake_response *response)
{
    if (strcmp(command, "drill") == 0) {
        drill(request, response);
    }
    else if (strcmp(command, "state") == 0) {
        response->body =
            g_strdup_printf("era %lu revision %lu", (unsigned long)store.era,
                            (unsigned long)store.revision);
    }
    else if (store.away) {
        response->drop = true;
    }
    else {
        char *value =
            request->body->len > 0
                ? g_base64_encode(request->body->data, request->body->len)
                : NULL;

        change(query(request, "key"), value, 0);
        response->body =
            g_strdup_printf("revision %lu", (unsigned long)store.revision);
        g_free(value);
    }
}

/* Counts a call of the gateways. Returns whether it is within the limits. */
static bool
take_call(bool is_write)
{
    uint64_t second = fake_clock_ms() / MS_PER_S;
    uint64_t *count = is_write ? &store.writes : &store.reads;

    if (second != store.second) {
        store.second = second;
        store.reads = 0;
        store.writes = 0;
    }
    if (*count >= (is_write ? WRITES_PER_S : READS_PER_S)) {
        store.refused++;
        return false;
    }
    ++*count;
    return true;
}

static void
handle(void *data, const struct fake_request *request,
       struct fake_response *response)
{
    static char era[24];
    const char *path = request->path;

    (void)data;
    pthread_mutex_lock(&store.lock);
    end_leases();
    if (g_str_has_prefix(path, "/control/")) {
        control(request, path + strlen("/control/"), response);
    }
    else if (store.away) {
        response->drop = true;
    }
    else if (!take_call(strcmp(path, "/dandelionfork/kv-txn") == 0)) {
        response->status = TOO_MANY_REQUESTS;
    }
    else if (strcmp(path, "/dandelionfork/kv-range") == 0) {
        range(request, response);
    }
    else if (strcmp(path, "/dandelionfork/kv-watch") == 0) {
        watch(request, response);
    }
    else if (g_str_has_prefix(path, "/dandelionfork/")) {
        post(request, path + strlen("/dandelionfork/"), response);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
    g_snprintf(era, sizeof(era), "%lu", (unsigned long)store.era);
    response->headers[0] =
        (struct fake_header_line){"Store-Era", g_intern_string(era)};
    pthread_mutex_unlock(&store.lock);
}

int
main(int argc, char **argv)
{
    struct fake_address address =
        fake_parse_arguments(argc, argv, NULL, NULL, 0);

    store.items = g_hash_table_new(g_str_hash, g_str_equal);
    store.history = g_ptr_array_new();
    store.leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return fake_serve(&address, handle, NULL);
}
