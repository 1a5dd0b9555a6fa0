#ifndef CORE_STREAM_PACE_H
#define CORE_STREAM_PACE_H

#include <stdbool.h>
#include <stdint.h>

/* Checks a stream against its route's latency targets: the time to the first
   event, and the gap between two events. The caller sets the request's time
   and the targets; all times are of one monotonic clock. */
struct stream_pace {
    uint64_t begun_ms; /* when the request arrived */
    uint32_t first_aim_ms;
    uint32_t pause_aim_ms;
    bool begun;                /* whether an event has been passed on */
    uint64_t first_ms;         /* time from the request to the first event */
    uint64_t last_ms;          /* when the last event was passed on */
    uint64_t longest_pause_ms; /* longest gap so far */
};

/* Records that an event is passed on to the caller. */
void stream_pace_event(struct stream_pace *latency, uint64_t now_ms);

/* Whether the stream has missed a target. It stays late from then on. */
bool stream_pace_is_late(const struct stream_pace *latency);

#endif
