#ifndef CORE_DRAIN_ADMISSION_H
#define CORE_DRAIN_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/* What a process that drains, that is, ends after a grace period, still takes.
   Requests that it takes and can't answer in time are broken off at the end of
   the grace; those that it refuses, their callers can send to another process
   at once. Whether a request ends in time is expected from how long the recent
   ones of its route took. Times are in milliseconds of one clock. */

struct drain_admission;

struct drain_request {
    /* Until the request's time limit, at which it is answered anyway. */
    uint64_t limit_left_ms;
    /* Whether its caller may send it again after it was broken off. */
    bool may_repeat;
};

struct drain_admission *drain_admission_create(void);
void drain_admission_destroy(struct drain_admission *admission);

/* Records a request whose response is complete. */
void drain_admission_record(struct drain_admission *admission,
                            const char *route, uint64_t duration_ms);

/* The process drains from now on, and breaks requests off at stop_ms. */
void drain_admission_begin(struct drain_admission *admission,
                           uint64_t stop_ms);

/* Always true before drain_admission_begin(). */
bool drain_admission_takes(const struct drain_admission *admission,
                           const char *route,
                           const struct drain_request *request,
                           uint64_t now_ms);

#endif
