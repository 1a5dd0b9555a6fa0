/* Fake of a plain service. The response depends only on the request.
   GET /control/executions returns the number of executions in total, of
   distinct requests, and the most executions of one request. A query ?delay=N
   makes the execution take N ms; ?cut=1 closes the connection after the
   execution, without a response; ?crash=1 ends the process instead. */

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "tests/fakes/fake_server.h"

enum {
    US_PER_MS = 1000
};

struct plain {
    pthread_mutex_t lock;
    GHashTable *executions; /* hash of a request to its count */
    uint64_t total;
    uint64_t most; /* executions of one request */
};

static void
count_execution(struct plain *plain, uint64_t hash)
{
    gpointer key = GSIZE_TO_POINTER(hash);
    uint64_t count;

    pthread_mutex_lock(&plain->lock);
    count = GPOINTER_TO_SIZE(g_hash_table_lookup(plain->executions, key)) + 1;
    g_hash_table_insert(plain->executions, key, GSIZE_TO_POINTER(count));
    plain->total++;
    plain->most = MAX(plain->most, count);
    pthread_mutex_unlock(&plain->lock);
}

static void
report_executions(struct plain *plain, struct fake_response *response)
{
    pthread_mutex_lock(&plain->lock);
    response->body = g_strdup_printf(
        "{\"total\":%lu,\"distinct\":%u,\"most\":%lu}\n",
        (unsigned long)plain->total, g_hash_table_size(plain->executions),
        (unsigned long)plain->most);
    pthread_mutex_unlock(&plain->lock);
}

static void
handle(void *data, const struct fake_request *request,
       struct fake_response *response)
{
    struct plain *plain = data;
    uint64_t hash;

    if (strcmp(request->path, "/health") == 0) {
        response->body = g_strdup("ok\n");
        return;
    }
    if (strcmp(request->path, "/control/executions") == 0) {
        report_executions(plain, response);
        return;
    }
    /* The agent asks each endpoint for its streams; a plain service has none.
     */
    if (g_str_has_prefix(request->path, "/v1/streams")) {
        response->status = MHD_HTTP_NOT_FOUND;
        return;
    }
    hash = XXH64(request->body->data, request->body->len,
                 XXH64(request->path, strlen(request->path), 0));
    count_execution(plain, hash);
    usleep((useconds_t)fake_query_number(request, "delay", 0) * US_PER_MS);
    if (fake_has_query(request, "crash")) {
        _exit(1);
    }
    response->drop = fake_has_query(request, "cut");
    response->content_type = "application/json";
    response->body = g_strdup_printf(
        "{\"method\":\"%s\",\"path\":\"%s\",\"request\":\"%016lx\"}\n",
        request->method, request->path, (unsigned long)hash);
}

int
main(int argc, char **argv)
{
    struct fake_address address;
    static struct plain plain = {.lock = PTHREAD_MUTEX_INITIALIZER};

    plain.executions = g_hash_table_new(NULL, NULL);
    address = fake_parse_arguments(argc, argv, NULL, NULL, 0);
    return fake_serve(&address, handle, &plain);
}
