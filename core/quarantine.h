#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

/* Finds the requests and prompt parts that crash endpoints, so that such
   requests are refused instead of being sent to one endpoint after the other.
   Gateways report what an endpoint left unfinished when it crashed
   (core/crash_report.h). A part is put under quarantine if it was there at
   several crashes, no other part explains these, and no request with it got an
   event since. Crashes that follow each other closely count as one: engines
   that fail together have another cause. A whole request counts as a part that
   is deeper in the prompt than all others. Its crashes count if it was sent
   again after each, however close they are, and until it is answered. Not
   thread-safe. Times are in milliseconds of one monotonic clock. */

struct crash_report;
struct quarantine;
struct _GPtrArray;

enum {
    /* Crashes at different times that put a part under quarantine. */
    QUARANTINE_CRASHES = 3
};

/* period_ms: how long a crash counts; 0: no part is put under quarantine. */
struct quarantine *quarantine_create(uint32_t period_ms);
void quarantine_destroy(struct quarantine *quarantine);

/* Adds a report of this or another gateway. Reports of one crash by several
   gateways count as one crash. revision is that of the report in the store, or
   UINT64_MAX while it is not there; it is added again when it is. */
void quarantine_add_report(struct quarantine *quarantine,
                           const struct crash_report *report,
                           uint64_t revision, uint64_t now_ms);

/* Records that a gateway has announced, at that revision of the store, that
   requests with the part of that id get events. Earlier reports no longer
   count for it. */
void quarantine_add_served(struct quarantine *quarantine, const char *id,
                           uint64_t revision);

/* Records that this gateway got an event for a request with these parts. */
void quarantine_record_served(struct quarantine *quarantine,
                              char *const *parts, uint64_t now_ms);

/* Records that this gateway got the whole response to the request. */
void quarantine_record_answered(struct quarantine *quarantine,
                                const char *digest, uint64_t now_ms);

/* Whether this gateway got an event for a request with the part so recently
   that the part is not to be reported for a crash. */
bool quarantine_was_served(const struct quarantine *quarantine, const char *id,
                           uint64_t now_ms);

/* Returns the first of the parts that is under quarantine and sets *left_ms to
   the time until it no longer is, if there are no further crashes. Returns
   NULL if there is none. */
const char *quarantine_find(struct quarantine *quarantine, char *const *parts,
                            uint64_t now_ms, uint32_t *left_ms);

/* Whether one request with a part under quarantine may be sent now, to find
   out whether it is still to blame; if so, that counts as done. It is due some
   time after the part's last crash, which doubles with each crash beyond
   QUARANTINE_CRASHES, and at gateways of rank 1 and above as much later for
   each rank. So one gateway tries for all, unless it has no such request or
   does not refuse the part. */
bool quarantine_try(struct quarantine *quarantine, const char *id,
                    uint32_t rank, uint64_t now_ms);

/* The same, without counting it as done. */
bool quarantine_may_try(const struct quarantine *quarantine, const char *id,
                        uint32_t rank, uint64_t now_ms);

/* Whether reports of crashes name the part, though they may no longer count
   for it. */
bool quarantine_is_reported(const struct quarantine *quarantine,
                            const char *id);

/* Returns the parts (char *) that reports suspect and for which this gateway
   got events since, so that it can announce them. Each is returned once until
   the announcement comes back. Free with g_ptr_array_free(). */
struct _GPtrArray *quarantine_contradicted(struct quarantine *quarantine,
                                           uint64_t now_ms);

/* Number of parts and requests under quarantine. */
uint32_t quarantine_count(struct quarantine *quarantine, uint64_t now_ms);

#endif
