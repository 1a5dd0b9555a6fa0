#include "agent/endpoint_calls.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "core/dispatch.h"
#include "io/http_call.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/worker_pool.h"

#define LOG_PART "endpoint"

enum {
    MAX_CALL_THREADS = 1024,
    MAX_STOP_THREADS = 8,
    /* Flow control: a call stops reading while more response bytes than this
       are left to consume: for the entry, or for the agent's loop if the call
       can't be repeated, since that reads on without an entry. */
    WINDOW_BYTES = 256 * 1024,
    /* Largest response of a call that can't be repeated: an entry takes no
       more. The agent keeps it whole, since later requests with the same
       idempotency key read it. */
    MAX_KEPT_RESPONSE_BYTES = 8 * 1024 * 1024,
    CONNECT_TIMEOUT_S = 2,
    MS_PER_S = 1000,
    STOP_TIMEOUT_S = 2,
    MAX_STOP_RESPONSE_BYTES = 256 * 1024,
    MAX_STOP_ATTEMPTS = 50,
    STOP_INTERVAL_US = 100 * 1000,
    ID_BYTES = 64,
    TAIL_BYTES = 64,
};

static const char stream_end_marker[] = "data: [DONE]";

struct endpoint_calls {
    struct loop *loop;
    char *ip;
    uint16_t port;
    struct endpoint_calls_handlers handlers;
    void *data;
    struct worker_pool *call_pool;
    struct worker_pool *stop_pool;
    pthread_mutex_t lock;
    uint64_t max_kept_bytes;
    uint64_t kept_bytes; /* of calls that can't be repeated; guarded by lock */
    GQueue idle_sessions; /* struct http_session, connections kept open;
                             guarded by lock */
};

/* Shared by the loop thread, the call's thread and the thread that stops it.
 */
struct call {
    /* A C11 atomic, since ThreadSanitizer recognises these. */
    _Atomic uint32_t references;
    struct endpoint_calls *calls;
    struct work *work; /* valid until finished is called */
    char id[ID_BYTES];
    bool stops_by_id; /* the engine can stop it by its id */
    bool repeatable;
    uint64_t priority;
    uint32_t timeout_s;
    const char *method;
    const char *path;
    const char *content_type;
    const char *memory_parts;
    const uint8_t *body;
    size_t body_bytes;
    _Atomic bool stopped;
    _Atomic bool ended;

    pthread_mutex_t lock;
    pthread_cond_t changed;  /* stopped or consumed_bytes */
    uint64_t received_bytes; /* guarded by lock */
    uint64_t consumed_bytes; /* guarded by lock */
    uint64_t kept_bytes;     /* of calls->kept_bytes; the call's thread only */
    uint64_t delivered_bytes; /* to the handlers; loop thread only */

    bool is_event_stream;
    char tail[TAIL_BYTES]; /* last bytes of an event stream so far */
    size_t tail_bytes;
};

enum event_kind {
    EVENT_HEAD,
    EVENT_BYTES,
    EVENT_FINISHED
};

struct event {
    enum event_kind kind;
    struct call *call;
    uint32_t status;
    char *content_type;
    uint8_t *bytes;
    size_t count;
    enum outcome outcome;
    enum reason reason;
};

struct endpoint_calls *
endpoint_calls_create(struct loop *loop, const char *ip, uint16_t port,
                      uint64_t max_kept_bytes,
                      const struct endpoint_calls_handlers *handlers,
                      void *data)
{
    struct endpoint_calls *calls = g_new0(struct endpoint_calls, 1);

    calls->loop = loop;
    calls->ip = g_strdup(ip);
    calls->port = port;
    calls->max_kept_bytes = max_kept_bytes;
    calls->handlers = *handlers;
    calls->data = data;
    calls->call_pool = worker_pool_create(MAX_CALL_THREADS);
    calls->stop_pool = worker_pool_create(MAX_STOP_THREADS);
    pthread_mutex_init(&calls->lock, NULL);
    g_queue_init(&calls->idle_sessions);
    return calls;
}

static void
call_release(struct call *call)
{
    if (atomic_fetch_sub(&call->references, 1) > 1) {
        return;
    }
    pthread_mutex_destroy(&call->lock);
    pthread_cond_destroy(&call->changed);
    g_free(call);
}

static void
record_consumed(struct call *call, uint64_t offset)
{
    pthread_mutex_lock(&call->lock);
    if (offset > call->consumed_bytes) {
        call->consumed_bytes = MIN(offset, call->received_bytes);
    }
    pthread_cond_signal(&call->changed);
    pthread_mutex_unlock(&call->lock);
}

static void
deliver_event(void *data, uint64_t now_ms)
{
    struct event *event = data;
    struct call *call = event->call;
    struct endpoint_calls *calls = call->calls;

    switch (event->kind) {
    case EVENT_HEAD:
        calls->handlers.head(calls->data, call->work, event->status,
                             event->content_type);
        break;
    case EVENT_BYTES:
        calls->handlers.bytes(calls->data, call->work, event->bytes,
                              event->count, now_ms);
        call->delivered_bytes += event->count;
        if (!call->repeatable) {
            record_consumed(call, call->delivered_bytes);
        }
        break;
    case EVENT_FINISHED:
        work_set_user_data(call->work, NULL);
        calls->handlers.finished(calls->data, call->work, event->outcome,
                                 event->reason, now_ms);
        call_release(call);
        break;
    }
    g_free(event->content_type);
    g_free(event->bytes);
    g_free(event);
}

static void
post_event(struct call *call, struct event event)
{
    struct event *copy = g_memdup2(&event, sizeof(event));

    copy->call = call;
    loop_post(call->calls->loop, deliver_event, copy);
}

static bool
on_head(void *context, uint32_t status, const char *content_type)
{
    struct call *call = context;

    call->is_event_stream =
        g_str_has_prefix(content_type, "text/event-stream");
    post_event(call, (struct event){.kind = EVENT_HEAD,
                                    .status = status,
                                    .content_type = g_strdup(content_type)});
    return !atomic_load(&call->stopped);
}

static void
append_to_tail(struct call *call, const char *bytes, size_t count)
{
    size_t kept;

    if (count >= TAIL_BYTES) {
        memcpy(call->tail, bytes + count - TAIL_BYTES, TAIL_BYTES);
        call->tail_bytes = TAIL_BYTES;
        return;
    }
    kept = MIN(call->tail_bytes, TAIL_BYTES - count);
    memmove(call->tail, call->tail + call->tail_bytes - kept, kept);
    memcpy(call->tail + kept, bytes, count);
    call->tail_bytes = kept + count;
}

/* Returns whether the agent can keep so many bytes more. */
static bool
keep_bytes(struct call *call, size_t count)
{
    struct endpoint_calls *calls = call->calls;
    bool fits;

    if (call->repeatable) {
        return true;
    }
    pthread_mutex_lock(&calls->lock);
    fits = call->kept_bytes + count <= MAX_KEPT_RESPONSE_BYTES &&
           calls->kept_bytes + count <= calls->max_kept_bytes;
    if (fits) {
        call->kept_bytes += count;
        calls->kept_bytes += count;
    }
    pthread_mutex_unlock(&calls->lock);
    return fits;
}

static void
release_kept_bytes(struct call *call)
{
    struct endpoint_calls *calls = call->calls;

    pthread_mutex_lock(&calls->lock);
    calls->kept_bytes -= call->kept_bytes;
    pthread_mutex_unlock(&calls->lock);
}

static void
count_received(struct call *call, size_t count)
{
    pthread_mutex_lock(&call->lock);
    call->received_bytes += count;
    pthread_mutex_unlock(&call->lock);
}

static bool
wait_for_window(struct call *call)
{
    pthread_mutex_lock(&call->lock);
    while (call->received_bytes - call->consumed_bytes > WINDOW_BYTES &&
           !atomic_load(&call->stopped)) {
        pthread_cond_wait(&call->changed, &call->lock);
    }
    pthread_mutex_unlock(&call->lock);
    return !atomic_load(&call->stopped);
}

static bool
on_data(void *context, const char *bytes, size_t count)
{
    struct call *call = context;

    if (!keep_bytes(call, count)) {
        LOG_WARN("response is too large to be kept",
                 "request=%s bytes=%" PRIu64, call->id, call->kept_bytes);
        return false;
    }
    if (call->is_event_stream) {
        append_to_tail(call, bytes, count);
    }
    count_received(call, count);
    post_event(call, (struct event){.kind = EVENT_BYTES,
                                    .bytes = g_memdup2(bytes, count),
                                    .count = count});
    return wait_for_window(call);
}

/* A complete event stream ends with its end marker. */
static bool
is_truncated(const struct call *call)
{
    return call->is_event_stream &&
           g_strstr_len(call->tail, (gssize)call->tail_bytes,
                        stream_end_marker) == NULL;
}

/* Only repeatable calls reuse a connection: the HTTP client may send a request
   on a kept connection twice. */
static struct http_session *
take_session(struct endpoint_calls *calls, bool reuse)
{
    struct http_session *session = NULL;

    if (reuse) {
        pthread_mutex_lock(&calls->lock);
        session = g_queue_pop_tail(&calls->idle_sessions);
        pthread_mutex_unlock(&calls->lock);
    }
    if (session == NULL) {
        session = http_session_create(calls->ip, calls->port, reuse);
    }
    return session;
}

static void
give_session_back(struct endpoint_calls *calls, struct http_session *session,
                  bool reuse)
{
    if (!reuse) {
        http_session_destroy(session);
        return;
    }
    pthread_mutex_lock(&calls->lock);
    g_queue_push_tail(&calls->idle_sessions, session);
    pthread_mutex_unlock(&calls->lock);
}

static struct event
result_event(const struct call *call, bool ok, const GError *error)
{
    struct event event = {.kind = EVENT_FINISHED, .outcome = OUTCOME_RAN};

    if (ok) {
        event.reason =
            is_truncated(call) ? REASON_ENDPOINT_FAILED : REASON_NONE;
        return event;
    }
    event.reason = REASON_ENDPOINT_FAILED;
    if (error->code == HTTP_ERROR_NOT_SENT) {
        event.outcome = OUTCOME_NOT_RUN;
    }
    else if (!call->repeatable) {
        event.outcome = OUTCOME_UNKNOWN;
    }
    return event;
}

static void
run_call(void *data)
{
    static const struct http_response_handlers handlers = {on_head, on_data};
    struct call *call = data;
    struct endpoint_calls *calls = call->calls;
    char priority[ID_BYTES];
    struct http_header headers[] = {{"X-Request-Id", call->id},
                                    {"X-Priority", priority},
                                    {"X-Memory-Parts", call->memory_parts}};
    struct http_request request = {
        .method = call->method,
        .path = call->path,
        .content_type = call->content_type,
        .headers = headers,
        .header_count =
            G_N_ELEMENTS(headers) - (call->memory_parts[0] == '\0'),
        .body = call->body,
        .body_bytes = call->body_bytes,
        .echoed = &headers[0],
    };
    struct http_session *session = take_session(calls, call->repeatable);
    GError *error = NULL;
    bool ok;

    snprintf(priority, sizeof(priority), "%" PRIu64, call->priority);
    http_session_set_timeouts(session, CONNECT_TIMEOUT_S, call->timeout_s,
                              call->timeout_s);
    ok = http_call_stream(session, &request, &handlers, call, &error);
    if (!ok && !atomic_load(&call->stopped)) {
        LOG_WARN("call to the endpoint failed", "request=%s error=\"%s\"",
                 call->id, error->message);
    }
    give_session_back(calls, session, call->repeatable);
    release_kept_bytes(call);
    atomic_store(&call->ended, true);
    post_event(call, result_event(call, ok, error));
    g_clear_error(&error);
}

static struct call *
create_call(struct endpoint_calls *calls, struct work *work, uint64_t now_ms)
{
    struct call *call = g_new0(struct call, 1);
    struct request_id id = work_id(work);
    uint64_t left_ms =
        work_deadline_ms(work) - MIN(now_ms, work_deadline_ms(work));

    call->references = 1;
    call->calls = calls;
    call->work = work;
    snprintf(call->id, sizeof(call->id), "%016" PRIx64 "-%" PRIu64 "-%u",
             id.incarnation, id.counter, work_attempt(work));
    call->stops_by_id = work_class_of(work) != WORK_PLAIN;
    call->repeatable = work_repeatable(work);
    call->priority = work_priority(work);
    call->timeout_s = (uint32_t)(left_ms / MS_PER_S + 1);
    call->method = work_method(work);
    call->path = work_path(work);
    call->content_type = work_content_type(work);
    call->memory_parts = work_memory_parts(work);
    call->body = work_body(work, &call->body_bytes);
    pthread_mutex_init(&call->lock, NULL);
    pthread_cond_init(&call->changed, NULL);
    return call;
}

void
endpoint_calls_start(struct endpoint_calls *calls, struct work *work,
                     uint64_t now_ms)
{
    struct call *call = create_call(calls, work, now_ms);

    work_set_user_data(work, call);
    worker_pool_submit(calls->call_pool, run_call, call);
}

/* The engine frees the memory of a running request, its stream, only on a
   DELETE, not when the connection closes. So the DELETE is repeated until the
   call has ended. */
static void
run_stop(void *data)
{
    struct call *call = data;
    char *path = g_strdup_printf("/v1/streams/%s", call->id);
    struct http_request request = {.method = "DELETE", .path = path};
    struct http_session *session =
        http_session_create(call->calls->ip, call->calls->port, false);

    http_session_set_timeouts(session, CONNECT_TIMEOUT_S, STOP_TIMEOUT_S,
                              STOP_TIMEOUT_S);
    for (int i = 0; i < MAX_STOP_ATTEMPTS && !atomic_load(&call->ended); i++) {
        http_call_fetch(session, &request, NULL, MAX_STOP_RESPONSE_BYTES,
                        NULL);
        usleep(STOP_INTERVAL_US);
    }
    if (!atomic_load(&call->ended)) {
        LOG_ERR("the engine does not stop", "request=%s", call->id);
    }
    http_session_destroy(session);
    g_free(path);
    call_release(call);
}

void
endpoint_calls_stop(struct endpoint_calls *calls, struct work *work)
{
    struct call *call = work_user_data(work);

    if (call == NULL || atomic_exchange(&call->stopped, true)) {
        return;
    }
    pthread_mutex_lock(&call->lock);
    pthread_cond_signal(&call->changed);
    pthread_mutex_unlock(&call->lock);
    if (call->stops_by_id) {
        atomic_fetch_add(&call->references, 1);
        worker_pool_submit(calls->stop_pool, run_stop, call);
    }
}

void
endpoint_calls_consumed(struct work *work, uint64_t offset)
{
    struct call *call = work_user_data(work);

    if (call != NULL && call->repeatable) {
        record_consumed(call, offset);
    }
}
