#ifndef ENTRY_ENTRY_COUNTERS_H
#define ENTRY_ENTRY_COUNTERS_H

#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* Counters of the entry, which it exports at GET /metrics. All but waiting
   count since the process started. Loop thread only. */

struct _GString;

struct entry_counters {
    uint64_t requests; /* received from callers */
    uint64_t answered; /* with a complete response of an endpoint */
    uint64_t waiting;  /* requests and holds in progress now */
    uint64_t reservations;
    uint64_t retries;
    uint64_t resumes;      /* responses continued after a lost link */
    uint64_t joins;        /* requests that joined another one's work */
    uint64_t groups;       /* of entry/group.h */
    uint64_t callers_gone; /* disconnected before the end of the response */
    uint64_t late_frames;  /* messages for requests that have ended */
};

extern struct entry_counters entry_counters;

/* Counts a request that a session itself refused. Requests that entry/front.h
   refuses, such as one with too long a body, are not counted. status is
   ignored. */
void entry_counters_refused(uint32_t status);
/* Counts a request that ended with an error. */
void entry_counters_failed(enum reason reason, enum outcome outcome);
/* Records the time from a request to the first bytes of its response, in the
   histogram of plain requests or of the prompt's band of lengths. */
void entry_counters_record_first_bytes(enum work_class work_class,
                                       uint64_t prompt_tokens,
                                       uint64_t after_ms);

/* Appends all counters and histograms in the Prometheus text format. */
void entry_counters_print(struct _GString *out);

#endif
