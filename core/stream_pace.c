#include "core/stream_pace.h"

void
stream_pace_event(struct stream_pace *pace, uint64_t now_ms)
{
    uint64_t gap_ms = now_ms - pace->last_ms;

    if (!pace->begun) {
        pace->begun = true;
        pace->first_ms = now_ms - pace->begun_ms;
    }
    else if (gap_ms > pace->longest_pause_ms) {
        pace->longest_pause_ms = gap_ms;
    }
    pace->last_ms = now_ms;
}

bool
stream_pace_is_late(const struct stream_pace *pace)
{
    return pace->first_ms > pace->first_aim_ms ||
           pace->longest_pause_ms > pace->pause_aim_ms;
}
