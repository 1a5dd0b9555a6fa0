#include "core/peer_progress.h"

#include <glib.h>

enum {
    MS_PER_S = 1000,
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

static void
update_unanswered(struct peer_progress *progress,
                  const struct peer_sample *sample, uint64_t now_ms)
{
    if (sample->unanswered && !progress->unanswered) {
        progress->unanswered_ms = now_ms;
    }
    progress->unanswered = sample->unanswered;
}

static bool
is_silent(const struct peer_progress *progress,
          const struct peer_limits *limits, const struct peer_sample *sample,
          uint64_t now_ms)
{
    uint64_t answered_ms = now_ms - MIN(now_ms, sample->answered_ago_ms);
    /* The last answer may be older than the packets. */
    uint64_t silent_ms = now_ms - MAX(progress->unanswered_ms, answered_ms);

    return sample->unanswered && limits->max_silence_ms > 0 &&
           silent_ms >= limits->max_silence_ms;
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
    update_taken(progress, sample, now_ms);
    update_unanswered(progress, sample, now_ms);
    if (!progress->behind) {
        return PEER_TAKEN;
    }
    if (is_silent(progress, limits, sample, now_ms)) {
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
