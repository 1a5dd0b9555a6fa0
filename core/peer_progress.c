#include "core/peer_progress.h"

#include <glib.h>

enum {
    MS_PER_S = 1000,
    /* After a longer time without a sample this process, or its machine, has
       stood still, and the peer gets its time anew. */
    MAX_GAP_MS = 2000,
};

static void
update_taken(struct peer_progress *progress, const struct peer_sample *sample,
             uint64_t now_ms)
{
    bool behind = sample->outstanding_bytes > 0;

    if (behind != progress->behind ||
        sample->acknowledged_bytes > progress->acknowledged_bytes) {
        progress->progress_ms = now_ms;
    }
    progress->behind = behind;
    progress->acknowledged_bytes = sample->acknowledged_bytes;
}

/* A peer that takes something has answered, too. */
static void
update_silence(struct peer_progress *progress,
               const struct peer_sample *sample, uint64_t now_ms)
{
    uint64_t answered_ms = 0;

    if (sample->answered_ago_ms > 0) {
        answered_ms = now_ms - MIN(now_ms, sample->answered_ago_ms);
    }
    if (sample->unanswered && !progress->unanswered) {
        progress->unanswered_ms = now_ms;
    }
    progress->unanswered = sample->unanswered;
    /* The last answer may be older than the packets. */
    progress->silent_since_ms =
        MAX(MAX(progress->unanswered_ms, answered_ms), progress->progress_ms);
}

void
peer_progress_begin(struct peer_progress *progress, uint64_t now_ms)
{
    progress->behind = true;
    progress->progress_ms = now_ms;
    progress->unanswered = true;
    progress->unanswered_ms = now_ms;
    progress->silent_since_ms = now_ms;
    progress->sampled_ms = now_ms;
}

uint64_t
peer_progress_silence_due_ms(const struct peer_progress *progress,
                             const struct peer_limits *limits)
{
    return progress->unanswered && limits->max_silence_ms > 0
               ? progress->silent_since_ms + limits->max_silence_ms
               : UINT64_MAX;
}

static uint64_t
stall_limit_ms(const struct peer_limits *limits,
               const struct peer_sample *sample)
{
    uint64_t limit_ms = limits->max_stall_ms;

    if (limits->min_bytes_per_s > 0) {
        limit_ms += (uint64_t)sample->segment_bytes * MS_PER_S /
                    limits->min_bytes_per_s;
    }
    return limit_ms;
}

enum peer_state
peer_progress_update(struct peer_progress *progress,
                     const struct peer_limits *limits,
                     const struct peer_sample *sample, uint64_t now_ms)
{
    if (progress->behind && now_ms > progress->sampled_ms + MAX_GAP_MS) {
        peer_progress_begin(progress, now_ms);
    }
    progress->sampled_ms = now_ms;
    update_taken(progress, sample, now_ms);
    update_silence(progress, sample, now_ms);
    if (!progress->behind) {
        return PEER_TAKEN;
    }
    if (now_ms >= peer_progress_silence_due_ms(progress, limits)) {
        return PEER_SILENT;
    }
    if (limits->max_stall_ms > 0 &&
        now_ms >= progress->progress_ms + stall_limit_ms(limits, sample)) {
        return PEER_STALLED;
    }
    return PEER_TAKING;
}

uint64_t
peer_progress_pause_ms(const struct peer_progress *progress, uint64_t now_ms)
{
    return progress->behind ? now_ms - progress->progress_ms : 0;
}
