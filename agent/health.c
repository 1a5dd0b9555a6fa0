#include "agent/health.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "io/http_call.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "health"

enum {
    CALL_TIMEOUT_S = 2,
    FAILURES_TO_UNHEALTHY = 3,
    MAX_RESPONSE_BYTES = 1024 * 1024,
    HTTP_OK = 200,
    HTTP_NOT_FOUND = 404,
    US_PER_MS = 1000,
};

struct health {
    struct loop *loop;
    struct http_session *session;
    char *path;
    uint64_t interval_ms;
    uint32_t failures; /* in a row */
    _Atomic bool healthy;
    bool streams_released;
    void (*changed)(void *data, bool healthy, uint64_t now_ms);
    void *data;
};

static void
report_healthy(void *data, uint64_t now_ms)
{
    struct health *health = data;

    health->changed(health->data, true, now_ms);
}

static void
report_unhealthy(void *data, uint64_t now_ms)
{
    struct health *health = data;

    health->changed(health->data, false, now_ms);
}

static uint32_t
fetch(struct health *health, const char *method, const char *path,
      GByteArray *body)
{
    struct http_request request = {.method = method, .path = path};

    return http_call_fetch(health->session, &request, body, MAX_RESPONSE_BYTES,
                           NULL);
}

static bool
release_stream(struct health *health, const char *id)
{
    char *path = g_strdup_printf("/v1/streams/%s", id);
    uint32_t status = fetch(health, "DELETE", path, NULL);

    LOG_INFO("orphaned stream released", "request=%s status=%u", id, status);
    g_free(path);
    return status == HTTP_OK || status == HTTP_NOT_FOUND;
}

/* Releases all streams. A service that is no model engine has none and returns
   404. */
static bool
release_streams(struct health *health)
{
    GByteArray *body = g_byte_array_new();
    uint32_t status = fetch(health, "GET", "/v1/streams", body);
    json_t *list = json_loadb((const char *)body->data, body->len, 0, NULL);
    bool ok = status == HTTP_NOT_FOUND || json_is_array(list);
    size_t i;
    json_t *stream;

    json_array_foreach(list, i, stream)
    {
        const char *id = json_string_value(json_object_get(stream, "id"));

        ok = id != NULL && release_stream(health, id) && ok;
    }
    json_decref(list);
    g_byte_array_unref(body);
    return ok;
}

static void
check(struct health *health)
{
    bool passed = fetch(health, "GET", health->path, NULL) == HTTP_OK;

    if (passed && !health->streams_released) {
        health->streams_released = release_streams(health);
        passed = health->streams_released;
    }
    health->failures = passed ? 0 : health->failures + 1;
    if (passed && !health->healthy) {
        health->healthy = true;
        LOG_INFO("the endpoint answers", "%s", "");
        loop_post(health->loop, report_healthy, health);
    }
    else if (health->healthy && health->failures >= FAILURES_TO_UNHEALTHY) {
        health->healthy = false;
        LOG_WARN("the endpoint does not answer", "failures=%u",
                 health->failures);
        loop_post(health->loop, report_unhealthy, health);
    }
}

static void *
run(void *data)
{
    struct health *health = data;

    for (;;) {
        check(health);
        usleep((useconds_t)health->interval_ms * US_PER_MS);
    }
    return NULL;
}

struct health *
health_start(struct loop *loop, const struct health_target *target,
             void (*changed)(void *data, bool healthy, uint64_t now_ms),
             void *data)
{
    struct health *health = g_new0(struct health, 1);
    pthread_t thread;

    health->loop = loop;
    health->session = http_session_create(target->ip, target->port, true);
    http_session_set_timeouts(health->session, CALL_TIMEOUT_S, CALL_TIMEOUT_S,
                              CALL_TIMEOUT_S);
    health->path = g_strdup(target->path);
    health->interval_ms = target->interval_ms;
    health->changed = changed;
    health->data = data;
    if (pthread_create(&thread, NULL, run, health) != 0) {
        g_error("can't create the thread for health checks");
    }
    pthread_detach(thread);
    return health;
}

void
health_mark_unhealthy(struct health *health)
{
    atomic_store(&health->healthy, false);
}
