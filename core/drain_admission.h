#ifndef CORE_DRAIN_ADMISSION_H
#define CORE_DRAIN_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a process that drains, that is, ends after a grace period,
   still takes a request. What it takes and can't answer in time is broken off
   at the end; what it refuses is sent to another process at once, as long as
   its caller has time for that. Keeps no state. */

struct drain_request {
    /* Until the request's time limit, at which it is answered anyway. */
    uint64_t limit_left_ms;
    /* What the recent requests of its kind took: the longest one, and what
       nine in ten did not exceed; UINT64_MAX: not known. */
    uint64_t longest_ms;
    uint64_t usual_ms;
    /* Whether its caller may send it again after it was broken off. */
    bool may_repeat;
};

/* left_ms: until requests in progress are broken off. */
bool drain_admits(const struct drain_request *request, uint64_t left_ms);

#endif
