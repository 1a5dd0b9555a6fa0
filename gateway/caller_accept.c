#include "gateway/caller_accept.h"

#include <errno.h>
#include <glib.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/caller_state.h"
#include "gateway/gateway_counters.h"
#include "io/http_connection.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "callers"

enum {
    /* Connections accepted per iteration of the loop. */
    MAX_ACCEPTS = 32,
    /* Part of the descriptors that is kept, and the least number: a gateway
       itself needs about twenty, and one more for each other gateway. */
    RESERVE_DIVISOR = 4,
    MIN_RESERVE = 48,
    /* How often a pause is tried to be ended, and how long it must have been
       over before that is logged: otherwise there is a line for each caller
       that leaves. */
    RETRY_MS = 100,
    SETTLE_MS = 1000,
};

uint32_t
caller_accept_max_connections(void)
{
    struct rlimit limit;
    uint64_t reserve;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > UINT32_MAX) {
        return 0;
    }
    reserve = MAX(limit.rlim_cur / RESERVE_DIVISOR, (uint64_t)MIN_RESERVE);
    return (uint32_t)(limit.rlim_cur - MIN(limit.rlim_cur - 1, reserve));
}

static bool
is_short(const struct callers *callers)
{
    return callers->max_connections > 0 &&
           http_connection_open_count() >= callers->max_connections;
}

static struct caller *
longest_idle(const struct callers *callers)
{
    struct caller *longest = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, callers->connections);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        struct caller *caller = value;

        if (caller->state == CALLER_IDLE &&
            (longest == NULL ||
             caller->idle_since_ms < longest->idle_since_ms)) {
            longest = caller;
        }
    }
    return longest;
}

/* The idle caller to be closed first. Requests that have arrived are served.
 */
static struct caller *
find_closable(const struct callers *callers)
{
    struct caller *caller = longest_idle(callers);

    while (caller != NULL && caller_note_request(caller)) {
        caller = longest_idle(callers);
    }
    return caller;
}

static void
close_idle(struct caller *caller)
{
    gateway_counters_count(COUNT_IDLE_CLOSED);
    caller_close_idle(caller);
}

void
caller_accept_make_room(struct callers *callers)
{
    struct caller *idle;

    while (is_short(callers) && (idle = find_closable(callers)) != NULL) {
        close_idle(idle);
    }
}

static void
pause_accepting(struct callers *callers)
{
    uint64_t now_ms = loop_now_ms(callers->loop);

    if (callers->short_since_ms == 0) {
        callers->short_since_ms = now_ms;
        gateway_counters_count(COUNT_ACCEPT_PAUSES);
        LOG_WARN("accepts no callers, too few descriptors are left",
                 "connections=%u callers=%u", http_connection_open_count(),
                 g_hash_table_size(callers->connections));
    }
    callers->accept_paused = true;
    loop_update_watch(callers->loop, callers->listen_fd, 0);
    loop_timer_arm(callers->accept_timer, now_ms + RETRY_MS);
}

static void
end_pause(struct callers *callers)
{
    if (callers->accept_paused) {
        callers->accept_paused = false;
        callers->resumed_ms = loop_now_ms(callers->loop);
        loop_update_watch(callers->loop, callers->listen_fd, EPOLLIN);
    }
}

static void
on_accept_timer(void *data, uint64_t now_ms)
{
    struct callers *callers = data;

    if (callers->listen_fd < 0) {
        return;
    }
    if (callers->accept_paused) {
        caller_accept_waiting(callers);
    }
    if (callers->accept_paused || now_ms < callers->resumed_ms + SETTLE_MS) {
        loop_timer_arm(callers->accept_timer, now_ms + RETRY_MS);
        return;
    }
    LOG_INFO("accepts callers again", "paused_ms=%" G_GUINT64_FORMAT,
             callers->resumed_ms - callers->short_since_ms);
    callers->short_since_ms = 0;
}

static bool
is_out_of_descriptors(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS ||
           error == ENOMEM;
}

/* Returns whether to try again. */
static bool
handle_accept_error(struct callers *callers, int error)
{
    if (is_out_of_descriptors(error)) {
        struct caller *idle = find_closable(callers);

        if (idle != NULL) {
            close_idle(idle);
            return true;
        }
        pause_accepting(callers);
        return false;
    }
    if (error != EAGAIN && error != ECONNABORTED) {
        LOG_WARN("can't accept a caller's connection", "error=\"%s\"",
                 g_strerror(error));
    }
    end_pause(callers);
    return false;
}

bool
caller_accept_waiting(struct callers *callers)
{
    for (int i = 0; i < MAX_ACCEPTS; i++) {
        int accepted;

        if (is_short(callers) && find_closable(callers) == NULL) {
            pause_accepting(callers);
            return false;
        }
        accepted = accept4(callers->listen_fd, NULL, NULL,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            end_pause(callers);
            caller_accept_make_room(callers);
            caller_open(callers, accepted);
        }
        else if (!handle_accept_error(callers, errno)) {
            return false;
        }
    }
    return true;
}

static void
on_connection(void *data, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    caller_accept_waiting(data);
}

bool
caller_accept_start(struct callers *callers)
{
    callers->accept_timer =
        loop_timer_create(callers->loop, on_accept_timer, callers);
    return loop_watch(callers->loop, callers->listen_fd, EPOLLIN,
                      on_connection, callers);
}

void
caller_accept_stop(struct callers *callers)
{
    if (callers->listen_fd >= 0) {
        loop_unwatch(callers->loop, callers->listen_fd);
        close(callers->listen_fd);
        callers->listen_fd = -1;
    }
}
