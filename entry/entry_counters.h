#ifndef ENTRY_ENTRY_COUNTERS_H
#define ENTRY_ENTRY_COUNTERS_H

#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* What the entry counts, printed at GET /metrics. Loop thread only. */

struct _GString;

struct entry_counters {
    uint64_t requests;
    uint64_t answered;
    uint64_t waiting; /* at present */
    uint64_t reservations;
    uint64_t retries;
    uint64_t resumes;
    uint64_t joins;
    uint64_t groups;
    uint64_t callers_gone;
    uint64_t late_frames;
};

extern struct entry_counters entry_counters;

void entry_counters_refused(uint32_t status);
void entry_counters_failed(enum reason reason, enum outcome outcome);
/* The first bytes of an answer have come so long after its request. */
void entry_counters_first_bytes(enum work_class work_class,
                                uint64_t prompt_tokens, uint64_t after_ms);

void entry_counters_print(struct _GString *out);

#endif
