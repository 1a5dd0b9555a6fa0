#ifndef CORE_STREAM_LATENCY_H
#define CORE_STREAM_LATENCY_H

#include <stdbool.h>
#include <stdint.h>

/* Checks a stream against its route's latency targets: the time to the first
   event, and the gap between two events. The owner sets the request's time
   and the targets; all times are of one monotonic clock. */
struct stream_latency {
    uint64_t requested_ms; /* when the request arrived */
    uint32_t first_event_target_ms;
    uint32_t gap_target_ms;
    bool has_event;          /* whether an event has been passed on */
    uint64_t first_event_ms; /* time from the request to the first event */
    uint64_t last_event_ms;  /* when the last event was passed on */
    uint64_t longest_gap_ms; /* longest gap so far */
};

/* Records that an event is passed on to the caller. */
void stream_latency_record_event(struct stream_latency *latency,
                                 uint64_t now_ms);

/* Whether the stream has missed a target. It stays late from then on. */
bool stream_latency_is_late(const struct stream_latency *latency);

#endif
