#include "core/crash.h"

#include <string.h>

#include "core/crash_report.h"

enum {
    /* Endpoints that crash within the first time may have a common cause that
       is no request. If no prompt got an event in between, so do those within
       the second one. */
    SAME_TIME_MS = 100,
    SAME_OUTAGE_MS = 300,
    /* Reports of one endpoint this close to each other are of one crash: it
       takes longer to start again and to crash again. */
    SAME_CRASH_MS = 1000,
    /* By which the clocks of two gateways may differ, and less than an
       endpoint takes from one crash to the next. */
    MAX_SKEW_MS = 2500,
    /* Between an end of a request and its being sent again, on clocks in whole
       milliseconds of machines that are in time. */
    SENT_AGAIN_SLACK_MS = 10,
};

struct crash *
crash_create(const struct crash_report *report, uint64_t now_ms)
{
    struct crash *crash = g_new0(struct crash, 1);

    crash->endpoint = g_strdup(report->endpoint);
    crash->gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    crash->crashed_ms = report->crashed_ms;
    crash->added_ms = now_ms;
    crash->suspicions =
        g_array_new(FALSE, FALSE, sizeof(struct crash_suspicion));
    return crash;
}

void
crash_destroy(struct crash *crash)
{
    if (crash == NULL) {
        return;
    }
    g_array_free(crash->suspicions, TRUE);
    g_hash_table_destroy(crash->gateways);
    g_free(crash->endpoint);
    g_free(crash);
}

static uint64_t
distance_ms(uint64_t a_ms, uint64_t b_ms)
{
    return a_ms > b_ms ? a_ms - b_ms : b_ms - a_ms;
}

bool
crash_is_told_by(const struct crash *crash, const struct crash_report *report,
                 uint64_t now_ms)
{
    uint64_t apart_ms = distance_ms(crash->crashed_ms, report->crashed_ms);

    if (strcmp(crash->endpoint, report->endpoint) != 0) {
        return false;
    }
    return apart_ms <= SAME_CRASH_MS ||
           (apart_ms <= MAX_SKEW_MS &&
            now_ms - crash->added_ms <= SAME_CRASH_MS &&
            !g_hash_table_contains(crash->gateways, report->gateway));
}

void
crash_add_report(struct crash *crash, const struct crash_report *report)
{
    g_hash_table_add(crash->gateways, g_strdup(report->gateway));
    crash->served_ms = MAX(crash->served_ms, report->served_ms);
}

struct crash_suspicion *
crash_find_suspicion(const struct crash *crash, const struct part *part)
{
    for (guint i = 0; i < crash->suspicions->len; i++) {
        struct crash_suspicion *suspicion =
            &g_array_index(crash->suspicions, struct crash_suspicion, i);

        if (suspicion->part == part) {
            return suspicion;
        }
    }
    return NULL;
}

void
crash_add_suspicion(struct crash *crash, const struct crash_suspicion *added)
{
    struct crash_suspicion *known = crash_find_suspicion(crash, added->part);

    if (known == NULL) {
        g_array_append_val(crash->suspicions, *added);
        return;
    }
    known->revision = MIN(known->revision, added->revision);
    if (added->sent_ms > known->sent_ms) {
        known->sent_ms = added->sent_ms;
        known->ended_ms = added->ended_ms;
    }
}

bool
crash_is_same_outage(const struct crash *earlier, const struct crash *crash)
{
    bool served_between = crash->served_ms > earlier->crashed_ms;

    return crash->crashed_ms <
           earlier->crashed_ms +
               (served_between ? SAME_TIME_MS : SAME_OUTAGE_MS);
}

bool
crash_is_sent_again(const struct crash *earlier, const struct crash *crash,
                    const struct part *request)
{
    const struct crash_suspicion *before =
        crash_find_suspicion(earlier, request);
    const struct crash_suspicion *now = crash_find_suspicion(crash, request);

    return now->sent_ms + SENT_AGAIN_SLACK_MS >= before->ended_ms;
}
