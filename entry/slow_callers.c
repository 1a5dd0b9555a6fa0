#include "entry/slow_callers.h"

#include <glib.h>
#include <sys/socket.h>

#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "front"

enum {
    MIN_BODY_BYTES_PER_S = 1024,
    CHECK_INTERVAL_MS = 500,
    MS_PER_S = 1000,
};

struct slow_caller {
    int fd;
    uint64_t expected_since_ms; /* 0: no request is expected */
    uint64_t body_bytes;
};

struct slow_callers {
    struct loop *loop;
    uint64_t idle_ms;
    struct loop_timer *timer;
    GHashTable *connections; /* struct slow_caller, owned, as a set */
};

static void
on_timer(void *data, uint64_t now_ms)
{
    struct slow_callers *callers = data;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, callers->connections);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        const struct slow_caller *caller = value;
        uint64_t due_ms = caller->expected_since_ms + callers->idle_ms +
                          caller->body_bytes * MS_PER_S / MIN_BODY_BYTES_PER_S;

        if (caller->expected_since_ms != 0 && now_ms > due_ms) {
            LOG_INFO("a caller sends its request too slowly",
                     "body_bytes=%" G_GUINT64_FORMAT, caller->body_bytes);
            /* The HTTP server sees the connection end. */
            shutdown(caller->fd, SHUT_RDWR);
        }
    }
    loop_timer_arm(callers->timer, now_ms + CHECK_INTERVAL_MS);
}

struct slow_callers *
slow_callers_create(struct loop *loop, uint64_t idle_ms)
{
    struct slow_callers *callers = g_new0(struct slow_callers, 1);

    callers->loop = loop;
    callers->idle_ms = idle_ms;
    callers->connections = g_hash_table_new_full(NULL, NULL, g_free, NULL);
    callers->timer = loop_timer_create(loop, on_timer, callers);
    loop_timer_arm(callers->timer, loop_now_ms(loop) + CHECK_INTERVAL_MS);
    return callers;
}

void
slow_callers_destroy(struct slow_callers *callers)
{
    if (callers == NULL) {
        return;
    }
    loop_timer_destroy(callers->timer);
    g_hash_table_destroy(callers->connections);
    g_free(callers);
}

struct slow_caller *
slow_callers_add(struct slow_callers *callers, int fd)
{
    struct slow_caller *caller = g_new0(struct slow_caller, 1);

    caller->fd = fd;
    slow_caller_expect(caller, loop_now_ms(callers->loop));
    g_hash_table_add(callers->connections, caller);
    return caller;
}

void
slow_callers_remove(struct slow_callers *callers, struct slow_caller *caller)
{
    g_hash_table_remove(callers->connections, caller);
}

void
slow_caller_expect(struct slow_caller *caller, uint64_t now_ms)
{
    caller->expected_since_ms = now_ms;
    caller->body_bytes = 0;
}

void
slow_caller_set_body(struct slow_caller *caller, uint64_t bytes)
{
    caller->body_bytes = bytes;
}

void
slow_caller_complete(struct slow_caller *caller)
{
    caller->expected_since_ms = 0;
}
