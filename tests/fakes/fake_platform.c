/* Fake of Consul, the platform of entries and agents: a key-value store with
   compare-and-swap and blocking queries, and lists of service instances.
   Commands under /control, with any method: instances and entries (the body is
   the new list, in JSON), down?on=1 (closes all connections without a
   response), slow?ms=N (delays all responses), lose?writes=N (the next N
   writes take effect, but their responses are lost), calls (returns the counts
   of reads and writes), copy (keeps a copy of all keys), restore (comes back
   from that copy: later writes are gone, and their indices are given out
   again). */

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"

enum {
    MAX_WAIT_MS = 600000,
    US_PER_MS = 1000
};

struct key {
    GByteArray *value;
    uint64_t index; /* revision of the last write */
};

struct platform {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GHashTable *keys;        /* name to struct key */
    GHashTable *copied_keys; /* NULL: no copy */
    uint64_t copied_index;
    char *instances; /* list of the agents, in JSON */
    char *entries;   /* list returned for any other service */
    uint64_t instances_index;
    uint64_t index;
    bool down;
    uint64_t slow_ms;
    uint64_t writes_to_lose;
    uint64_t reads;
    uint64_t writes;
};

/* Waits for a change, at most up to a second longer than end_ms. Returns false
   once the end has passed or the platform is down. The caller holds the lock.
 */
static bool
wait_until(struct platform *platform, uint64_t end_ms)
{
    struct timespec until;
    uint64_t now_ms = fake_clock_ms();

    if (now_ms >= end_ms || platform->down) {
        return false;
    }
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += (time_t)((end_ms - now_ms) / 1000 + 1);
    pthread_cond_timedwait(&platform->changed, &platform->lock, &until);
    return true;
}

static uint64_t
wait_end_ms(const struct fake_request *request)
{
    uint64_t wait_ms = fake_query_number(request, "wait", 0);

    return fake_clock_ms() + MIN(wait_ms, MAX_WAIT_MS);
}

static uint64_t
key_index(const struct platform *platform, const char *name)
{
    const struct key *key = g_hash_table_lookup(platform->keys, name);

    return key != NULL ? key->index : 0;
}

static void
get_key(struct platform *platform, const struct fake_request *request,
        const char *name, struct fake_response *response)
{
    uint64_t after = fake_query_number(request, "index", 0);
    uint64_t end_ms = wait_end_ms(request);
    const struct key *key;
    char *encoded;

    platform->reads++;
    while (fake_has_query(request, "index") &&
           key_index(platform, name) == after &&
           wait_until(platform, end_ms)) {
    }
    if (platform->down) {
        response->drop = true;
        return;
    }
    key = g_hash_table_lookup(platform->keys, name);
    response->consul_index = MAX(platform->index, 1);
    if (key == NULL) {
        response->status = MHD_HTTP_NOT_FOUND;
        return;
    }
    encoded = g_base64_encode(key->value->data, key->value->len);
    response->consul_index = key->index;
    response->body = g_strdup_printf(
        "[{\"Key\":\"%s\",\"Value\":\"%s\",\"ModifyIndex\":%lu}]", name,
        encoded, (unsigned long)key->index);
    g_free(encoded);
}

static void
put_key(struct platform *platform, const struct fake_request *request,
        const char *name, struct fake_response *response)
{
    struct key *key = g_hash_table_lookup(platform->keys, name);

    platform->writes++;
    if (fake_has_query(request, "cas") &&
        fake_query_number(request, "cas", 0) != key_index(platform, name)) {
        response->body = g_strdup("false");
        return;
    }
    if (key == NULL) {
        key = g_new0(struct key, 1);
        key->value = g_byte_array_new();
        g_hash_table_insert(platform->keys, g_strdup(name), key);
    }
    g_byte_array_set_size(key->value, 0);
    g_byte_array_append(key->value, request->body->data, request->body->len);
    key->index = ++platform->index;
    pthread_cond_broadcast(&platform->changed);
    response->body = g_strdup("true");
    if (platform->writes_to_lose > 0) {
        platform->writes_to_lose--;
        response->drop = true;
    }
}

static void
delete_key(struct platform *platform, const char *name,
           struct fake_response *response)
{
    platform->writes++;
    g_hash_table_remove(platform->keys, name);
    platform->index++;
    pthread_cond_broadcast(&platform->changed);
    response->body = g_strdup("true");
}

static void
list_instances(struct platform *platform, const struct fake_request *request,
               struct fake_response *response)
{
    uint64_t after = fake_query_number(request, "index", 0);
    uint64_t end_ms = wait_end_ms(request);

    platform->reads++;
    while (platform->instances_index == after &&
           wait_until(platform, end_ms)) {
    }
    if (platform->down) {
        response->drop = true;
        return;
    }
    response->body = g_strdup(g_str_has_suffix(request->path, "-agent")
                                  ? platform->instances
                                  : platform->entries);
    response->consul_index = platform->instances_index;
}

static void
replace_list(struct platform *platform, const struct fake_request *request,
             char **list)
{
    g_free(*list);
    *list = g_strndup((const char *)request->body->data, request->body->len);
    platform->instances_index++;
}

static void
free_key(gpointer data)
{
    struct key *key = data;

    g_byte_array_unref(key->value);
    g_free(key);
}

static GHashTable *
create_keys(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_key);
}

static GHashTable *
copy_keys(GHashTable *keys)
{
    GHashTable *copy = create_keys();
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    g_hash_table_iter_init(&iter, keys);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct key *key = value;
        struct key *copied = g_new0(struct key, 1);

        copied->value = g_byte_array_new();
        g_byte_array_append(copied->value, key->value->data, key->value->len);
        copied->index = key->index;
        g_hash_table_insert(copy, g_strdup(name), copied);
    }
    return copy;
}

static void
restore(struct platform *platform)
{
    if (platform->copied_keys != NULL) {
        g_hash_table_destroy(platform->keys);
        platform->keys = copy_keys(platform->copied_keys);
        platform->index = platform->copied_index;
    }
}

static void
control(struct platform *platform, const struct fake_request *request,
        const char *command, struct fake_response *response)
{
    if (strcmp(command, "instances") == 0) {
        replace_list(platform, request, &platform->instances);
    }
    else if (strcmp(command, "entries") == 0) {
        replace_list(platform, request, &platform->entries);
    }
    else if (strcmp(command, "down") == 0) {
        platform->down = fake_query_number(request, "on", 1) != 0;
    }
    else if (strcmp(command, "slow") == 0) {
        platform->slow_ms = fake_query_number(request, "ms", 0);
    }
    else if (strcmp(command, "lose") == 0) {
        platform->writes_to_lose = fake_query_number(request, "writes", 1);
    }
    else if (strcmp(command, "copy") == 0) {
        g_clear_pointer(&platform->copied_keys, g_hash_table_destroy);
        platform->copied_keys = copy_keys(platform->keys);
        platform->copied_index = platform->index;
    }
    else if (strcmp(command, "restore") == 0) {
        restore(platform);
    }
    else if (strcmp(command, "calls") == 0) {
        response->body = g_strdup_printf("{\"reads\":%lu,\"writes\":%lu}\n",
                                         (unsigned long)platform->reads,
                                         (unsigned long)platform->writes);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
    pthread_cond_broadcast(&platform->changed);
}

static void
serve_platform(struct platform *platform, const struct fake_request *request,
               struct fake_response *response)
{
    const char *path = request->path;

    if (platform->down) {
        response->drop = true;
    }
    else if (g_str_has_prefix(path, "/v1/kv/")) {
        const char *name = path + strlen("/v1/kv/");

        if (strcmp(request->method, "PUT") == 0) {
            put_key(platform, request, name, response);
        }
        else if (strcmp(request->method, "DELETE") == 0) {
            delete_key(platform, name, response);
        }
        else {
            get_key(platform, request, name, response);
        }
    }
    else if (g_str_has_prefix(path, "/v1/health/service/")) {
        list_instances(platform, request, response);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
}

static void
handle(void *data, const struct fake_request *request,
       struct fake_response *response)
{
    struct platform *platform = data;
    uint64_t slow_ms;

    pthread_mutex_lock(&platform->lock);
    if (g_str_has_prefix(request->path, "/control/")) {
        control(platform, request, request->path + strlen("/control/"),
                response);
        slow_ms = 0;
    }
    else {
        serve_platform(platform, request, response);
        slow_ms = platform->slow_ms;
    }
    pthread_mutex_unlock(&platform->lock);
    usleep((useconds_t)slow_ms * US_PER_MS);
}

int
main(int argc, char **argv)
{
    struct fake_address address;
    static struct platform platform = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .changed = PTHREAD_COND_INITIALIZER,
    };

    platform.keys = create_keys();
    platform.instances = g_strdup("[]");
    platform.entries = g_strdup("[]");
    platform.instances_index = 1;
    address = fake_parse_arguments(argc, argv, NULL, NULL, 0);
    return fake_serve(&address, handle, &platform);
}
