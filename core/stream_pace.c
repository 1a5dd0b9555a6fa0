#include "core/stream_pace.h"

void
stream_pace_event(struct stream_pace *latency, uint64_t now_ms)
{
    uint64_t gap_ms = now_ms - latency->last_ms;

    if (!latency->begun) {
        latency->begun = true;
        latency->first_ms = now_ms - latency->begun_ms;
    }
    else if (gap_ms > latency->longest_pause_ms) {
        latency->longest_pause_ms = gap_ms;
    }
    latency->last_ms = now_ms;
}

bool
stream_pace_is_late(const struct stream_pace *latency)
{
    return latency->first_ms > latency->first_aim_ms ||
           latency->longest_pause_ms > latency->pause_aim_ms;
}
