#include "io/peer_watch.h"

#include <glib.h>

#include "io/loop.h"
#include "io/send_queue.h"
#include "io/socket_options.h"

enum {
    /* Time to the first question, and most between two. A quick peer has taken
       all by the first one; the limits are seconds. */
    FIRST_CHECK_MS = 250,
    MAX_CHECK_MS = 1000,
    /* After the end of the connection, which a drain waits for. */
    FIRST_END_CHECK_MS = 20,
};

struct peer_watch {
    struct loop *loop;
    const struct send_queue *queue;
    struct peer_watch_settings settings;
    struct loop_timer *timer;
    struct peer_progress progress;
    bool told;
    bool untaken; /* the peer may not have taken all */
    bool lifted;  /* TCP_USER_TIMEOUT */
    uint64_t interval_ms;
    uint64_t checked_ms;
};

/* Also lifts or restores the system's limit if that has to serve. */
static void
fill_from_queue(struct peer_watch *watch, struct peer_sample *sample)
{
    bool lifted =
        watch->settings.spares_readers && sample->outstanding_bytes > 0;

    if (lifted != watch->lifted) {
        watch->lifted = lifted;
        socket_limit_unacknowledged(
            watch->settings.fd,
            lifted ? 0 : watch->settings.limits.max_silence_ms);
    }
}

/* Returns false if the connection has failed. */
static bool
take_sample(struct peer_watch *watch, struct peer_sample *sample)
{
    struct socket_peer peer = {0};
    uint64_t accepted = send_queue_taken_bytes(watch->queue);

    sample->acknowledged_bytes = accepted;
    sample->outstanding_bytes = send_queue_length(watch->queue);
    if (!watch->told || !socket_ask_peer(watch->settings.fd, &peer)) {
        fill_from_queue(watch, sample);
        return true;
    }
    sample->acknowledged_bytes -= MIN(accepted, peer.unacknowledged_bytes);
    sample->outstanding_bytes += peer.unacknowledged_bytes;
    sample->unanswered = peer.unanswered;
    sample->answered_ago_ms = peer.answered_ago_ms;
    sample->segment_bytes = peer.segment_bytes;
    return !peer.closed;
}

static enum peer_state
update(struct peer_watch *watch)
{
    struct peer_sample sample = {0};
    enum peer_state state;
    bool open = take_sample(watch, &sample);

    watch->checked_ms = loop_now_ms(watch->loop);
    state = peer_progress_update(&watch->progress, &watch->settings.limits,
                                 &sample, watch->checked_ms);
    watch->untaken = state != PEER_TAKEN;
    return open || state == PEER_TAKEN ? state : PEER_SILENT;
}

static void
arm(struct peer_watch *watch)
{
    uint64_t now_ms = loop_now_ms(watch->loop);
    uint64_t due_ms = peer_progress_silence_due_ms(&watch->progress,
                                                   &watch->settings.limits);

    loop_timer_arm(watch->timer,
                   CLAMP(due_ms, now_ms + 1, now_ms + watch->interval_ms));
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct peer_watch *watch = data;
    enum peer_state state = update(watch);

    (void)now_ms;
    if (state == PEER_TAKING) {
        watch->interval_ms = MIN(2 * watch->interval_ms, MAX_CHECK_MS);
        arm(watch);
        return;
    }
    watch->settings.report(watch->settings.data, state);
}

struct peer_watch *
peer_watch_create(struct loop *loop, const struct send_queue *queue,
                  const struct peer_watch_settings *given)
{
    struct peer_watch *watch = g_new0(struct peer_watch, 1);
    struct socket_peer peer;

    watch->loop = loop;
    watch->queue = queue;
    watch->settings = *given;
    watch->timer = loop_timer_create(loop, on_timer, watch);
    watch->told = socket_ask_peer(given->fd, &peer);
    if (!watch->told && given->limits.max_silence_ms > 0) {
        socket_limit_unacknowledged(given->fd, given->limits.max_silence_ms);
    }
    return watch;
}

void
peer_watch_destroy(struct peer_watch *watch)
{
    if (watch != NULL) {
        loop_timer_destroy(watch->timer);
        g_free(watch);
    }
}

bool
peer_watch_is_told(const struct peer_watch *watch)
{
    return watch->told;
}

void
peer_watch_sent(struct peer_watch *watch)
{
    if (!watch->untaken) {
        watch->untaken = true;
        peer_progress_begin(&watch->progress, loop_now_ms(watch->loop));
        watch->interval_ms = FIRST_CHECK_MS;
        arm(watch);
    }
}

void
peer_watch_finish(struct peer_watch *watch)
{
    if (!watch->untaken) {
        watch->untaken = true;
        peer_progress_begin(&watch->progress, loop_now_ms(watch->loop));
    }
    watch->interval_ms = FIRST_END_CHECK_MS;
    arm(watch);
}

bool
peer_watch_is_taken(struct peer_watch *watch)
{
    return !watch->untaken || update(watch) == PEER_TAKEN;
}

uint64_t
peer_watch_pause_ms(const struct peer_watch *watch)
{
    return peer_progress_pause_ms(&watch->progress, watch->checked_ms);
}
