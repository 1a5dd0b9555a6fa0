#ifndef CORE_CRASH_H
#define CORE_CRASH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The crash of an endpoint, as one gateway or several report it, with what was
   there: the records of core/quarantine.h. Times of reports are Unix time by
   the clock of the gateway that reports, in milliseconds; now_ms and added_ms
   are those of one monotonic clock. */

struct crash_report;
struct part;

/* A part of a prompt, or a request, that was at a crash. */
struct crash_suspicion {
    struct part *part; /* borrowed */
    uint64_t revision; /* the lowest of the reports */
    uint64_t added_ms;
    /* Of a request: when it was sent and ended, as reported by the gateway
       that sent it last. */
    uint64_t sent_ms;
    uint64_t ended_ms;
};

struct crash {
    char *endpoint;
    GHashTable *gateways; /* names of those that have reported it, owned */
    uint64_t crashed_ms;
    uint64_t served_ms; /* last event of any prompt before it; 0: none */
    uint64_t added_ms;
    GArray *suspicions; /* struct crash_suspicion */
    bool explained;     /* by a part under quarantine */
};

/* A crash that no report has been added to. */
struct crash *crash_create(const struct crash_report *report, uint64_t now_ms);
void crash_destroy(struct crash *crash);

/* Whether a report is of that crash: by its time, or, as the gateways' clocks
   may differ, since it comes at the same time from a gateway that has not
   reported the crash yet. */
bool crash_is_told_by(const struct crash *crash,
                      const struct crash_report *report, uint64_t now_ms);

/* Adds who has reported it, and when that gateway had got an event. */
void crash_add_report(struct crash *crash, const struct crash_report *report);

/* NULL: the part was not there. */
struct crash_suspicion *crash_find_suspicion(const struct crash *crash,
                                             const struct part *part);
void crash_add_suspicion(struct crash *crash,
                         const struct crash_suspicion *added);

/* Whether two crashes, the earlier one first, may have the same cause that is
   no request, such as a power failure: they are close to each other. */
bool crash_is_same_outage(const struct crash *earlier,
                          const struct crash *crash);

/* Whether a request that was at both was sent to the endpoint of the crash
   after the earlier one had ended it. */
bool crash_is_sent_again(const struct crash *earlier,
                         const struct crash *crash,
                         const struct part *request);

#endif
