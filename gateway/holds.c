#include "gateway/holds.h"

#include <glib.h>

#include "core/endpoints.h"
#include "core/placement.h"
#include "gateway/upstreams.h"
#include "io/http_message.h"
#include "io/log.h"
#include "io/loop.h"
#include "platform/platform_order.h"

#define LOG_PART "holds"

enum {
    /* Memory must be free again within four seconds of the last request that
       used it, even if the gateway has crashed. */
    HOLD_TTL_MS = 3600,
    /* Three renewals per TTL, so that two may be lost. */
    RENEW_INTERVAL_MS = 1200,
    /* Memory must not stay set aside for nine seconds without a request that
       uses it. A hold that is no longer renewed still lasts for its TTL. */
    MAX_UNUSED_MS = 5000,
    /* Less than the interval, so that a renewal whose response hangs is sent
       again on another connection. */
    ANSWER_TIMEOUT_MS = 1000,
    /* A hold request opens no connection if this gateway already has this many
       to the endpoint. Hold requests are rare and share the pool with callers'
       requests, whose connections count too. */
    MAX_CONNECTIONS = 64,
};

/* A hold at one endpoint, owned by its group, or a release, which has no group
   and frees itself. */
struct hold_request {
    struct hold_group *group;
    struct endpoint *endpoint;
    struct upstream *upstream; /* request in progress; NULL: none */
    uint32_t status;           /* of the last response */
    bool acquired;
};

struct hold_group {
    struct holds *holds;
    char *id;
    uint64_t tokens;
    struct hold_request requests[PLACEMENT_MAX_ENGINES];
    uint32_t count;
    struct loop_timer *renew_timer;
    uint64_t renew_until_ms; /* UINT64_MAX: the memory is in use */
    struct holds_handlers handlers;
    void *data;
    bool reported;
};

struct holds {
    struct loop *loop;
    struct upstreams *upstreams;
    char *id_prefix;
    uint64_t next_id;
};

struct holds *
holds_create(struct loop *loop, struct upstreams *upstreams,
             const char *id_prefix)
{
    struct holds *holds = g_new0(struct holds, 1);

    holds->loop = loop;
    holds->upstreams = upstreams;
    holds->id_prefix = g_strdup(id_prefix);
    return holds;
}

static void
report(struct hold_group *group, struct endpoint *failed)
{
    if (!group->reported) {
        group->reported = true;
        group->handlers.done(group->data, failed);
    }
}

static bool
all_acquired(const struct hold_group *group)
{
    for (uint32_t i = 0; i < group->count; i++) {
        if (!group->requests[i].acquired) {
            return false;
        }
    }
    return true;
}

static void
on_head(void *data, const struct http_head *head)
{
    struct hold_request *request = data;

    request->status = head->status;
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    (void)data;
    (void)bytes;
    (void)count;
}

static void
on_reserve_end(void *data)
{
    struct hold_request *request = data;
    struct hold_group *group = request->group;

    request->upstream = NULL;
    request->acquired = request->status == PLATFORM_ORDER_DONE;
    if (!request->acquired) {
        LOG_INFO("an endpoint did not grant a hold",
                 "hold=%s endpoint=%s status=%u tokens=%" G_GUINT64_FORMAT,
                 group->id, request->endpoint->id, request->status,
                 group->tokens);
        report(group, request->endpoint);
        return;
    }
    if (all_acquired(group)) {
        report(group, NULL);
    }
}

static void
on_reserve_failed(void *data, enum upstream_failure failure, const char *why)
{
    struct hold_request *request = data;

    (void)failure;
    request->upstream = NULL;
    LOG_WARN("a hold request got no response",
             "hold=%s endpoint=%s why=\"%s\"", request->group->id,
             request->endpoint->id, why);
    report(request->group, request->endpoint);
}

static const struct upstream_handlers reserve_handlers = {
    on_head, on_body, on_reserve_end, on_reserve_failed};

static struct upstream *
send_request(struct holds *holds, struct hold_request *request,
             const GByteArray *bytes, const struct upstream_handlers *handlers)
{
    const struct upstream_request upstream_request = {
        .head = bytes->data,
        .head_bytes = bytes->len,
        .max_connections = MAX_CONNECTIONS,
        .timeout_ms = ANSWER_TIMEOUT_MS};

    return upstreams_send(holds->upstreams, request->endpoint,
                          &upstream_request, handlers, request);
}

static void
send_reserve(struct hold_group *group, struct hold_request *request)
{
    GByteArray *bytes = g_byte_array_new();

    platform_order_write_reserve(bytes, request->endpoint, group->id,
                                 group->tokens, HOLD_TTL_MS);
    request->upstream =
        send_request(group->holds, request, bytes, &reserve_handlers);
    g_byte_array_unref(bytes);
}

/* A renewal still in progress is not sent again; the next one is due soon. The
   holds of a prompt that its engine doesn't begin are left to expire: if it
   does begin later, the engine rejects it. */
static void
on_renew_timer(void *data, uint64_t now_ms)
{
    struct hold_group *group = data;

    if (now_ms > group->renew_until_ms) {
        LOG_INFO("holds expire, no request has used them", "hold=%s",
                 group->id);
        return;
    }
    for (uint32_t i = 0; i < group->count; i++) {
        if (group->requests[i].upstream == NULL) {
            send_reserve(group, &group->requests[i]);
        }
    }
    loop_timer_arm(group->renew_timer, now_ms + RENEW_INTERVAL_MS);
}

struct hold_group *
holds_acquire(struct holds *holds, struct endpoint *const *endpoints,
              uint32_t count, uint64_t tokens,
              const struct holds_handlers *handlers, void *data)
{
    struct hold_group *group = g_new0(struct hold_group, 1);

    group->holds = holds;
    group->id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, holds->id_prefix,
                                holds->next_id++);
    group->tokens = tokens;
    group->count = count;
    group->handlers = *handlers;
    group->data = data;
    group->renew_timer = loop_timer_create(holds->loop, on_renew_timer, group);
    group->renew_until_ms = loop_now_ms(holds->loop) + MAX_UNUSED_MS;
    for (uint32_t i = 0; i < count; i++) {
        group->requests[i].group = group;
        group->requests[i].endpoint = endpoint_ref(endpoints[i]);
    }
    /* The first requests are sent by the timer too, which retries those that
       can't be sent. */
    loop_timer_arm(group->renew_timer, loop_now_ms(holds->loop));
    return group;
}

void
hold_group_mark_used(struct hold_group *group)
{
    if (group != NULL && group->renew_until_ms != UINT64_MAX) {
        group->renew_until_ms = UINT64_MAX;
        loop_timer_arm(group->renew_timer, loop_now_ms(group->holds->loop));
    }
}

const char *
hold_group_id(const struct hold_group *group)
{
    return group->id;
}

/* If a release is lost, the hold expires after HOLD_TTL_MS. */
static void
free_release(struct hold_request *request)
{
    endpoint_unref(request->endpoint);
    g_free(request);
}

static void
on_release_end(void *data)
{
    free_release(data);
}

static void
on_release_failed(void *data, enum upstream_failure failure, const char *why)
{
    struct hold_request *request = data;

    (void)failure;
    LOG_WARN("a hold was not released, it expires by itself",
             "endpoint=%s why=\"%s\"", request->endpoint->id, why);
    free_release(request);
}

static void
send_release(struct holds *holds, struct endpoint *endpoint, const char *id)
{
    static const struct upstream_handlers handlers = {
        on_head, on_body, on_release_end, on_release_failed};
    GByteArray *bytes = g_byte_array_new();
    struct hold_request *request = g_new0(struct hold_request, 1);

    request->endpoint = endpoint_ref(endpoint);
    platform_order_write_release(bytes, endpoint, id);
    if (send_request(holds, request, bytes, &handlers) == NULL) {
        free_release(request);
    }
    g_byte_array_unref(bytes);
}

void
hold_group_release(struct hold_group *group)
{
    if (group == NULL) {
        return;
    }
    for (uint32_t i = 0; i < group->count; i++) {
        upstream_cancel(group->requests[i].upstream);
        send_release(group->holds, group->requests[i].endpoint, group->id);
        endpoint_unref(group->requests[i].endpoint);
    }
    loop_timer_destroy(group->renew_timer);
    g_free(group->id);
    g_free(group);
}
