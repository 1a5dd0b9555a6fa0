#include "gateway/upstreams.h"

#include <glib.h>
#include <string.h>

#include "core/endpoints.h"
#include "io/http_connection.h"
#include "io/http_message.h"
#include "io/loop.h"

enum {
    /* Several round trips between data centres, and less than the time allowed
       for a first token, so that another endpoint can still be tried. */
    CONNECT_TIMEOUT_MS = 250,
    /* For endpoints that don't say how long they keep idle connections. */
    DEFAULT_IDLE_TIMEOUT_MS = 1000,
    MAX_IDLE_TIMEOUT_S = 3600,
    /* Subtracted from the endpoint's idle timeout, since its close may already
       be on the way. */
    IDLE_MARGIN_MS = 500,
    /* Idle time up to which a connection is reused for a request that must not
       run twice. */
    AT_MOST_ONCE_IDLE_MS = 400,
    /* If an endpoint answers no packet for this long, its machine is taken to
       be gone. One that answers and reads nothing of a body may be busy, or
       stand still; another one can then still be tried within most time
       limits. One that reads at the rate at which large bodies must arrive
       goes on. */
    MAX_SILENCE_MS = 1500,
    MAX_STALL_MS = 5000,
    MIN_READ_BYTES_PER_S = 64 * 1024,
    TCP_KEEPALIVE_S = 1,
    MAX_HEAD_BYTES = 64 * 1024,
    MS_PER_S = 1000,
    SWEEP_INTERVAL_MS = 500,
    /* With limited kernel buffers. */
    MAX_UNSENT_BYTES = 16 * 1024,
    /* Requests on one connection, which keeps 4 bytes for each. */
    MAX_REQUESTS = 1024,
};

struct upstream {
    struct upstreams *upstreams;
    struct upstream_pool *pool;
    struct http_connection *connection;
    struct loop_timer *timer; /* of connecting, then of the response */
    uint64_t due_ms;          /* of the response; 0: any time */
    struct upstream_handlers handlers;
    void *data;
    bool connected;
    bool busy;
    bool keep_alive;
    uint32_t idle_timeout_ms;
    uint64_t idle_since_ms;
    uint32_t requests;
    GArray *id_hashes; /* guint, of the requests that had an id */
};

/* The connections to one endpoint at one address. */
struct upstream_pool {
    char *key;
    GQueue idle; /* struct upstream, most recently used first */
    uint32_t open;
};

struct upstreams {
    struct loop *loop;
    GHashTable *pools; /* "id ip:port" to struct upstream_pool */
    struct loop_timer *sweep_timer;
    uint32_t receive_buffer_bytes; /* 0: kernel buffers are not limited */
    uint64_t opened_total;
    uint32_t open_count;
};

static void
free_upstream(struct upstream *upstream)
{
    if (!upstream->busy) {
        g_queue_remove(&upstream->pool->idle, upstream);
    }
    upstream->pool->open--;
    upstream->upstreams->open_count--;
    http_connection_destroy(upstream->connection);
    loop_timer_destroy(upstream->timer);
    g_array_free(upstream->id_hashes, TRUE);
    g_free(upstream);
}

static void
fail(struct upstream *upstream, enum upstream_failure failure, const char *why)
{
    struct upstream_handlers handlers = upstream->handlers;
    void *data = upstream->data;

    free_upstream(upstream);
    handlers.failed(data, failure, why);
}

static void
arm_response_timer(struct upstream *upstream)
{
    if (upstream->due_ms != 0) {
        loop_timer_arm(upstream->timer, upstream->due_ms);
    }
    else {
        loop_timer_disarm(upstream->timer);
    }
}

static void
on_opened(void *data)
{
    struct upstream *upstream = data;

    upstream->connected = true;
    arm_response_timer(upstream);
}

static void
on_head(void *data, const struct http_head *head)
{
    struct upstream *upstream = data;

    upstream->keep_alive = head->keep_alive && !head->until_close;
    upstream->handlers.head(upstream->data, head);
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    struct upstream *upstream = data;

    upstream->handlers.body(upstream->data, bytes, count);
}

static void
on_complete(void *data)
{
    struct upstream *upstream = data;
    struct upstream_handlers handlers = upstream->handlers;
    void *owner = upstream->data;

    /* A connection whose response came before all of the request's body was
       sent can't be reused. */
    if (!upstream->keep_alive || upstream->requests >= MAX_REQUESTS ||
        http_connection_queued_bytes(upstream->connection) > 0) {
        free_upstream(upstream);
    }
    else {
        upstream->busy = false;
        /* The end may have come with the bytes for which it was paused. */
        http_connection_pause(upstream->connection, false);
        loop_timer_disarm(upstream->timer);
        upstream->idle_since_ms = loop_now_ms(upstream->upstreams->loop);
        g_queue_push_head(&upstream->pool->idle, upstream);
    }
    handlers.end(owner);
}

static enum upstream_failure
failure_of(enum http_connection_end end)
{
    switch (end) {
    case HTTP_CONNECTION_CONNECT_FAILED:
        return UPSTREAM_NOT_SENT;
    case HTTP_CONNECTION_HEAD_TOO_BIG:
        return UPSTREAM_ENDLESS;
    default:
        return UPSTREAM_MAY_HAVE_RUN;
    }
}

static void
on_ended(void *data, enum http_connection_end end)
{
    struct upstream *upstream = data;

    if (!upstream->busy) {
        free_upstream(upstream);
        return;
    }
    fail(upstream, failure_of(end), http_connection_end_text(end));
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct upstream *upstream = data;

    (void)now_ms;
    if (upstream->connected) {
        fail(upstream, UPSTREAM_MAY_HAVE_RUN, "no answer in time");
        return;
    }
    fail(upstream, UPSTREAM_NOT_SENT, "no connection in time");
}

static const struct http_connection_handlers connection_handlers = {
    .opened = on_opened,
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
    .ended = on_ended,
};

static uint64_t
usable_until_ms(const struct upstream *upstream, bool at_most_once)
{
    uint32_t limit_ms = upstream->idle_timeout_ms;

    limit_ms -= MIN(IDLE_MARGIN_MS, limit_ms / 2);
    return upstream->idle_since_ms +
           (at_most_once ? MIN(limit_ms, AT_MOST_ONCE_IDLE_MS) : limit_ms);
}

static void
sweep_pool(struct upstream_pool *pool, uint64_t now_ms)
{
    struct upstream *oldest;

    while ((oldest = g_queue_peek_tail(&pool->idle)) != NULL &&
           now_ms >= usable_until_ms(oldest, false)) {
        free_upstream(oldest);
    }
}

static void
on_sweep_timer(void *data, uint64_t now_ms)
{
    struct upstreams *upstreams = data;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, upstreams->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct upstream_pool *pool = value;

        sweep_pool(pool, now_ms);
        if (pool->open == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    loop_timer_arm(upstreams->sweep_timer, now_ms + SWEEP_INTERVAL_MS);
}

static void
free_pool(gpointer data)
{
    struct upstream_pool *pool = data;

    g_free(pool->key);
    g_free(pool);
}

struct upstreams *
upstreams_create(struct loop *loop)
{
    struct upstreams *upstreams = g_new0(struct upstreams, 1);

    upstreams->loop = loop;
    upstreams->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
    upstreams->sweep_timer =
        loop_timer_create(loop, on_sweep_timer, upstreams);
    loop_timer_arm(upstreams->sweep_timer,
                   loop_now_ms(loop) + SWEEP_INTERVAL_MS);
    return upstreams;
}

void
upstreams_destroy(struct upstreams *upstreams)
{
    GHashTableIter iter;
    gpointer value;

    if (upstreams == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, upstreams->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct upstream_pool *pool = value;

        while (!g_queue_is_empty(&pool->idle)) {
            free_upstream(g_queue_peek_head(&pool->idle));
        }
    }
    g_hash_table_destroy(upstreams->pools);
    loop_timer_destroy(upstreams->sweep_timer);
    g_free(upstreams);
}

static char *
pool_key(const struct endpoint *endpoint)
{
    return g_strdup_printf("%s %s:%u", endpoint->id, endpoint->ip,
                           endpoint->port);
}

static struct upstream_pool *
find_pool(struct upstreams *upstreams, const struct endpoint *endpoint)
{
    char *key = pool_key(endpoint);
    struct upstream_pool *pool = g_hash_table_lookup(upstreams->pools, key);

    if (pool != NULL) {
        g_free(key);
        return pool;
    }
    pool = g_new0(struct upstream_pool, 1);
    pool->key = key;
    g_queue_init(&pool->idle);
    g_hash_table_insert(upstreams->pools, key, pool);
    return pool;
}

/* Two ids with one hash cost no more than another connection. */
static bool
has_carried(const struct upstream *upstream, const char *id)
{
    guint hash = id != NULL ? g_str_hash(id) : 0;

    for (guint i = 0; id != NULL && i < upstream->id_hashes->len; i++) {
        if (g_array_index(upstream->id_hashes, guint, i) == hash) {
            return true;
        }
    }
    return false;
}

static void
record_request(struct upstream *upstream, const char *id)
{
    upstream->requests++;
    if (id != NULL) {
        guint hash = g_str_hash(id);

        g_array_append_val(upstream->id_hashes, hash);
    }
}

static struct upstream *
take_idle(struct upstream_pool *pool, const struct upstream_request *request,
          uint64_t now_ms)
{
    GList *next;

    if (request->needs_new) {
        return NULL;
    }
    for (GList *at = pool->idle.head; at != NULL; at = next) {
        struct upstream *upstream = at->data;

        next = at->next;
        if (now_ms >= usable_until_ms(upstream, request->at_most_once)) {
            return NULL;
        }
        if (http_connection_is_stale(upstream->connection)) {
            free_upstream(upstream);
        }
        else if (!has_carried(upstream, request->id)) {
            g_queue_delete_link(&pool->idle, at);
            upstream->busy = true;
            return upstream;
        }
    }
    return NULL;
}

static struct upstream *
open_upstream(struct upstreams *upstreams, struct upstream_pool *pool,
              const struct endpoint *endpoint, uint32_t max_connections)
{
    uint32_t receive_bytes = upstreams->receive_buffer_bytes;
    const struct http_connection_settings settings = {
        .max_head_bytes = MAX_HEAD_BYTES,
        .peer = {.max_silence_ms = MAX_SILENCE_MS,
                 .max_stall_ms = MAX_STALL_MS,
                 .min_bytes_per_s = MIN_READ_BYTES_PER_S},
        .keepalive_s = TCP_KEEPALIVE_S,
        .max_unsent_bytes = receive_bytes > 0 ? MAX_UNSENT_BYTES : 0,
        .receive_buffer_bytes = receive_bytes};
    struct upstream *upstream;

    if (pool->open >= max_connections) {
        return NULL;
    }
    upstream = g_new0(struct upstream, 1);
    upstream->upstreams = upstreams;
    upstream->pool = pool;
    upstream->busy = true;
    upstream->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
    upstream->id_hashes = g_array_new(FALSE, FALSE, sizeof(guint));
    upstream->connection =
        http_connection_connect(upstreams->loop, endpoint->ip, endpoint->port,
                                &settings, &connection_handlers, upstream);
    if (upstream->connection == NULL) {
        g_array_free(upstream->id_hashes, TRUE);
        g_free(upstream);
        return NULL;
    }
    pool->open++;
    upstreams->open_count++;
    upstreams->opened_total++;
    upstream->timer = loop_timer_create(upstreams->loop, on_timer, upstream);
    loop_timer_arm(upstream->timer,
                   loop_now_ms(upstreams->loop) + CONNECT_TIMEOUT_MS);
    return upstream;
}

struct upstream *
upstreams_send(struct upstreams *upstreams, const struct endpoint *endpoint,
               const struct upstream_request *request,
               const struct upstream_handlers *handlers, void *data)
{
    struct upstream_pool *pool = find_pool(upstreams, endpoint);
    struct upstream *upstream =
        take_idle(pool, request, loop_now_ms(upstreams->loop));

    if (upstream == NULL) {
        upstream =
            open_upstream(upstreams, pool, endpoint, request->max_connections);
    }
    if (upstream == NULL) {
        return NULL;
    }
    record_request(upstream, request->id);
    upstream->handlers = *handlers;
    upstream->data = data;
    upstream->due_ms = request->timeout_ms != 0
                           ? loop_now_ms(upstreams->loop) + request->timeout_ms
                           : 0;
    if (upstream->connected) {
        arm_response_timer(upstream);
    }
    http_connection_next(upstream->connection, request->head_only);
    http_connection_send(upstream->connection, request->head,
                         request->head_bytes);
    if (request->body != NULL) {
        http_connection_send_shared(upstream->connection, request->body);
    }
    return upstream;
}

bool
upstream_is_new(const struct upstream *upstream)
{
    return upstream->requests == 1;
}

void
upstream_set_idle_timeout_s(struct upstream *upstream, uint32_t idle_s)
{
    if (idle_s > 0) {
        upstream->idle_timeout_ms = MIN(idle_s, MAX_IDLE_TIMEOUT_S) * MS_PER_S;
    }
}

void
upstream_pause(struct upstream *upstream, bool paused)
{
    http_connection_pause(upstream->connection, paused);
}

size_t
upstream_kernel_bytes(const struct upstream *upstream)
{
    return http_connection_kernel_bytes(upstream->connection);
}

void
upstreams_limit_kernel_buffers(struct upstreams *upstreams,
                               uint32_t receive_buffer_bytes)
{
    upstreams->receive_buffer_bytes = receive_buffer_bytes;
}

void
upstream_cancel(struct upstream *upstream)
{
    if (upstream != NULL) {
        free_upstream(upstream);
    }
}

bool
upstreams_is_connected(const struct upstreams *upstreams,
                       const struct endpoint *endpoint)
{
    char *key = pool_key(endpoint);
    const struct upstream_pool *pool =
        g_hash_table_lookup(upstreams->pools, key);

    g_free(key);
    return pool != NULL && pool->open > 0;
}

uint64_t
upstreams_opened_total(const struct upstreams *upstreams)
{
    return upstreams->opened_total;
}

uint32_t
upstreams_open_count(const struct upstreams *upstreams)
{
    return upstreams->open_count;
}
