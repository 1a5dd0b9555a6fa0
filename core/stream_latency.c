#include "core/stream_latency.h"

void
stream_latency_record_event(struct stream_latency *latency, uint64_t now_ms)
{
    uint64_t gap_ms = now_ms - latency->last_event_ms;

    if (!latency->has_event) {
        latency->has_event = true;
        latency->first_event_ms = now_ms - latency->requested_ms;
    }
    else if (gap_ms > latency->longest_gap_ms) {
        latency->longest_gap_ms = gap_ms;
    }
    latency->last_event_ms = now_ms;
}

bool
stream_latency_is_late(const struct stream_latency *latency)
{
    return latency->first_event_ms > latency->first_event_target_ms ||
           latency->longest_gap_ms > latency->gap_target_ms;
}
