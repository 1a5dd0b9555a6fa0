#include "io/loop.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

enum {
    MAX_EVENTS_PER_WAIT = 64,
    MAX_WAIT_MS = 1000,
    /* Period of loop_recent_stall_ms(). */
    STALL_WINDOW_MS = 60 * 1000,
};

struct watch {
    int fd;
    bool removed;
    void (*handler)(void *data, int fd, uint32_t events);
    void *data;
};

struct loop_timer {
    struct loop *loop;
    uint64_t at_ms;
    size_t heap_position; /* index in heap plus 1; 0: not armed */
    void (*handler)(void *data, uint64_t now_ms);
    void *data;
};

struct posted_call {
    void (*handler)(void *data, uint64_t now_ms);
    void *data;
};

struct loop {
    int epoll_fd;
    int wake_fd;
    bool running;
    uint64_t now_ms;
    GHashTable *watches; /* from fd to struct watch */
    GPtrArray *removed;  /* watches freed at the end of the iteration */
    GPtrArray *heap;     /* binary heap of armed timers, earliest first */
    pthread_mutex_t lock;
    GArray *posted;   /* guarded by lock */
    GArray *deferred; /* struct posted_call, for when a handler returns */
    void (*iteration_handler)(void *data, uint64_t now_ms);
    void *iteration_data;
    /* Longest stalls: since the start, in the present window, in the last. */
    uint64_t longest_stall_ms;
    uint64_t window_stall_ms;
    uint64_t last_window_stall_ms;
    uint64_t window_started_ms;
};

uint64_t
loop_clock_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* A deferred call may defer further ones. */
static void
run_deferred_calls(struct loop *loop)
{
    for (guint i = 0; i < loop->deferred->len; i++) {
        struct posted_call call =
            g_array_index(loop->deferred, struct posted_call, i);

        call.handler(call.data, loop->now_ms);
    }
    g_array_set_size(loop->deferred, 0);
}

static void
run_posted_calls(void *data, int fd, uint32_t events)
{
    struct loop *loop = data;
    GArray *calls;
    uint64_t count;

    (void)events;
    if (read(fd, &count, sizeof(count)) < 0 && errno != EAGAIN) {
        return;
    }
    pthread_mutex_lock(&loop->lock);
    calls = loop->posted;
    loop->posted = g_array_new(FALSE, FALSE, sizeof(struct posted_call));
    pthread_mutex_unlock(&loop->lock);
    for (guint i = 0; i < calls->len; i++) {
        struct posted_call *call =
            &g_array_index(calls, struct posted_call, i);

        call->handler(call->data, loop->now_ms);
        run_deferred_calls(loop);
    }
    g_array_free(calls, TRUE);
}

struct loop *
loop_create(void)
{
    struct loop *loop = g_new0(struct loop, 1);

    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    loop->now_ms = loop_clock_ms();
    loop->window_started_ms = loop->now_ms;
    loop->watches = g_hash_table_new(NULL, NULL);
    loop->removed = g_ptr_array_new_with_free_func(g_free);
    loop->heap = g_ptr_array_new();
    pthread_mutex_init(&loop->lock, NULL);
    loop->posted = g_array_new(FALSE, FALSE, sizeof(struct posted_call));
    loop->deferred = g_array_new(FALSE, FALSE, sizeof(struct posted_call));
    if (loop->epoll_fd < 0 || loop->wake_fd < 0 ||
        !loop_watch(loop, loop->wake_fd, EPOLLIN, run_posted_calls, loop)) {
        loop_destroy(loop);
        return NULL;
    }
    return loop;
}

void
loop_destroy(struct loop *loop)
{
    GHashTableIter iter;
    gpointer watch;

    if (loop == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, loop->watches);
    while (g_hash_table_iter_next(&iter, NULL, &watch)) {
        g_free(watch);
    }
    g_hash_table_destroy(loop->watches);
    g_ptr_array_free(loop->removed, TRUE);
    g_ptr_array_free(loop->heap, TRUE);
    g_array_free(loop->posted, TRUE);
    g_array_free(loop->deferred, TRUE);
    pthread_mutex_destroy(&loop->lock);
    if (loop->epoll_fd >= 0) {
        close(loop->epoll_fd);
    }
    if (loop->wake_fd >= 0) {
        close(loop->wake_fd);
    }
    g_free(loop);
}

uint64_t
loop_now_ms(const struct loop *loop)
{
    return loop->now_ms;
}

bool
loop_watch(struct loop *loop, int fd, uint32_t events,
           void (*handler)(void *data, int fd, uint32_t events), void *data)
{
    struct watch *watch = g_new0(struct watch, 1);
    struct epoll_event event = {.events = events, .data.ptr = watch};

    watch->fd = fd;
    watch->handler = handler;
    watch->data = data;
    if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) < 0) {
        g_free(watch);
        return false;
    }
    g_hash_table_insert(loop->watches, GINT_TO_POINTER(fd), watch);
    return true;
}

bool
loop_update_watch(struct loop *loop, int fd, uint32_t events)
{
    struct watch *watch =
        g_hash_table_lookup(loop->watches, GINT_TO_POINTER(fd));
    struct epoll_event event = {.events = events, .data.ptr = watch};

    return watch != NULL &&
           epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, fd, &event) == 0;
}

void
loop_unwatch(struct loop *loop, int fd)
{
    struct watch *watch =
        g_hash_table_lookup(loop->watches, GINT_TO_POINTER(fd));

    if (watch == NULL) {
        return;
    }
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
    g_hash_table_remove(loop->watches, GINT_TO_POINTER(fd));
    /* The events of this iteration may still refer to it. */
    watch->removed = true;
    g_ptr_array_add(loop->removed, watch);
}

static struct loop_timer *
heap_at(const struct loop *loop, size_t index)
{
    return g_ptr_array_index(loop->heap, index);
}

static void
heap_put(struct loop *loop, size_t index, struct loop_timer *timer)
{
    g_ptr_array_index(loop->heap, index) = timer;
    timer->heap_position = index + 1;
}

static void
heap_sift_up(struct loop *loop, size_t index)
{
    struct loop_timer *timer = heap_at(loop, index);

    while (index > 0) {
        size_t parent = (index - 1) / 2;

        if (heap_at(loop, parent)->at_ms <= timer->at_ms) {
            break;
        }
        heap_put(loop, index, heap_at(loop, parent));
        index = parent;
    }
    heap_put(loop, index, timer);
}

static void
heap_sift_down(struct loop *loop, size_t index)
{
    struct loop_timer *timer = heap_at(loop, index);

    for (;;) {
        size_t child = index * 2 + 1;

        if (child >= loop->heap->len) {
            break;
        }
        if (child + 1 < loop->heap->len &&
            heap_at(loop, child + 1)->at_ms < heap_at(loop, child)->at_ms) {
            child++;
        }
        if (timer->at_ms <= heap_at(loop, child)->at_ms) {
            break;
        }
        heap_put(loop, index, heap_at(loop, child));
        index = child;
    }
    heap_put(loop, index, timer);
}

struct loop_timer *
loop_timer_create(struct loop *loop,
                  void (*handler)(void *data, uint64_t now_ms), void *data)
{
    struct loop_timer *timer = g_new0(struct loop_timer, 1);

    timer->loop = loop;
    timer->handler = handler;
    timer->data = data;
    return timer;
}

void
loop_timer_disarm(struct loop_timer *timer)
{
    struct loop *loop = timer->loop;
    size_t index = timer->heap_position - 1;
    struct loop_timer *last;

    if (timer->heap_position == 0) {
        return;
    }
    timer->heap_position = 0;
    last = heap_at(loop, loop->heap->len - 1);
    g_ptr_array_set_size(loop->heap, (gint)loop->heap->len - 1);
    if (last == timer) {
        return;
    }
    heap_put(loop, index, last);
    heap_sift_up(loop, index);
    heap_sift_down(loop, last->heap_position - 1);
}

void
loop_timer_arm(struct loop_timer *timer, uint64_t at_ms)
{
    if (timer->heap_position != 0 && timer->at_ms == at_ms) {
        return;
    }
    loop_timer_disarm(timer);
    timer->at_ms = at_ms;
    g_ptr_array_add(timer->loop->heap, timer);
    heap_sift_up(timer->loop, timer->loop->heap->len - 1);
}

void
loop_timer_destroy(struct loop_timer *timer)
{
    if (timer == NULL) {
        return;
    }
    loop_timer_disarm(timer);
    g_free(timer);
}

void
loop_post(struct loop *loop, void (*handler)(void *data, uint64_t now_ms),
          void *data)
{
    struct posted_call call = {handler, data};
    uint64_t one = 1;

    pthread_mutex_lock(&loop->lock);
    g_array_append_val(loop->posted, call);
    pthread_mutex_unlock(&loop->lock);
    if (write(loop->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN) {
        abort();
    }
}

void
loop_defer(struct loop *loop, void (*handler)(void *data, uint64_t now_ms),
           void *data)
{
    struct posted_call call = {handler, data};

    g_array_append_val(loop->deferred, call);
}

void
loop_set_iteration_handler(struct loop *loop,
                           void (*handler)(void *data, uint64_t now_ms),
                           void *data)
{
    loop->iteration_handler = handler;
    loop->iteration_data = data;
}

static int
epoll_timeout_ms(const struct loop *loop, uint64_t now_ms)
{
    uint64_t at_ms;

    if (loop->heap->len == 0) {
        return MAX_WAIT_MS;
    }
    at_ms = heap_at(loop, 0)->at_ms;
    if (at_ms <= now_ms) {
        return 0;
    }
    return (int)MIN(at_ms - now_ms, (uint64_t)MAX_WAIT_MS);
}

static void
record_stall(struct loop *loop, uint64_t stall_ms)
{
    loop->window_stall_ms = MAX(loop->window_stall_ms, stall_ms);
    loop->longest_stall_ms = MAX(loop->longest_stall_ms, stall_ms);
    if (loop->now_ms >= loop->window_started_ms + STALL_WINDOW_MS) {
        loop->last_window_stall_ms = loop->window_stall_ms;
        loop->window_stall_ms = 0;
        loop->window_started_ms = loop->now_ms;
    }
}

uint64_t
loop_longest_stall_ms(const struct loop *loop)
{
    return loop->longest_stall_ms;
}

uint64_t
loop_recent_stall_ms(const struct loop *loop)
{
    return MAX(loop->window_stall_ms, loop->last_window_stall_ms);
}

/* Waits for events, and notes how long the iteration before has taken, and how
   much longer than asked for the wait was: then the process got no processor
   or was stopped. */
static int
wait_for_events(struct loop *loop, struct epoll_event *events)
{
    uint64_t before_ms = loop_clock_ms();
    int timeout_ms = epoll_timeout_ms(loop, before_ms);
    uint64_t due_ms = before_ms + (uint64_t)timeout_ms;
    int count;

    record_stall(loop, before_ms - loop->now_ms);
    count =
        epoll_wait(loop->epoll_fd, events, MAX_EVENTS_PER_WAIT, timeout_ms);
    loop->now_ms = loop_clock_ms();
    record_stall(loop, loop->now_ms - MIN(loop->now_ms, due_ms));
    return count;
}

static void
run_due_timers(struct loop *loop)
{
    while (loop->heap->len > 0 && heap_at(loop, 0)->at_ms <= loop->now_ms) {
        struct loop_timer *timer = heap_at(loop, 0);

        loop_timer_disarm(timer);
        timer->handler(timer->data, loop->now_ms);
        run_deferred_calls(loop);
    }
}

void
loop_run(struct loop *loop)
{
    struct epoll_event events[MAX_EVENTS_PER_WAIT];

    loop->running = true;
    loop->now_ms = loop_clock_ms();
    while (loop->running) {
        int count;

        /* Those of the iteration handler, or from before the loop ran. */
        run_deferred_calls(loop);
        count = wait_for_events(loop, events);
        for (int i = 0; i < count; i++) {
            struct watch *watch = events[i].data.ptr;

            if (!watch->removed) {
                watch->handler(watch->data, watch->fd, events[i].events);
                run_deferred_calls(loop);
            }
        }
        run_due_timers(loop);
        if (loop->iteration_handler != NULL) {
            loop->iteration_handler(loop->iteration_data, loop->now_ms);
        }
        g_ptr_array_set_size(loop->removed, 0);
    }
}

void
loop_stop(struct loop *loop)
{
    loop->running = false;
}
