#include "entry/entry_counters.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#include "io/histogram.h"
#include "io/link.h"
#include "io/store.h"

enum {
    BAND_COUNT = 6,
    FIRST_BAND_TOKENS = 1000,
    BAND_FACTOR = 4,
    LABEL_BYTES = 64
};

struct entry_counters entry_counters;

static uint64_t refused;
static uint64_t failed[REASON_COUNT][OUTCOME_UNKNOWN + 1];
static struct histogram *first_token_ms[BAND_COUNT];
static struct histogram *plain_ms;

void
entry_counters_refused(uint32_t status)
{
    (void)status;
    refused++;
}

void
entry_counters_failed(enum reason reason, enum outcome outcome)
{
    failed[reason][outcome]++;
}

static void
create_histograms(void)
{
    uint64_t tokens = FIRST_BAND_TOKENS;

    plain_ms = histogram_create("dandelionfork_plain_ms", "");
    for (uint32_t i = 0; i < BAND_COUNT; i++) {
        char label[LABEL_BYTES];

        if (i + 1 < BAND_COUNT) {
            snprintf(label, sizeof(label), "up_to_tokens=\"%" PRIu64 "\"",
                     tokens);
        }
        else {
            snprintf(label, sizeof(label), "up_to_tokens=\"+Inf\"");
        }
        first_token_ms[i] =
            histogram_create("dandelionfork_first_token_ms", label);
        tokens *= BAND_FACTOR;
    }
}

void
entry_counters_record_first_bytes(enum work_class work_class,
                                  uint64_t prompt_tokens, uint64_t after_ms)
{
    uint64_t limit = FIRST_BAND_TOKENS;
    uint32_t band = 0;

    if (plain_ms == NULL) {
        create_histograms();
    }
    if (work_class == WORK_PLAIN) {
        histogram_add(plain_ms, after_ms);
        return;
    }
    while (prompt_tokens > limit && band + 1 < BAND_COUNT) {
        limit *= BAND_FACTOR;
        band++;
    }
    histogram_add(first_token_ms[band], after_ms);
}

static void
print_value(GString *out, const char *name, uint64_t value)
{
    g_string_append_printf(out, "dandelionfork_%s %" PRIu64 "\n", name, value);
}

void
entry_counters_print(GString *out)
{
    print_value(out, "requests_total", entry_counters.requests);
    print_value(out, "answered_total", entry_counters.answered);
    print_value(out, "waiting", entry_counters.waiting);
    print_value(out, "reservations_total", entry_counters.reservations);
    print_value(out, "retries_total", entry_counters.retries);
    print_value(out, "resumes_total", entry_counters.resumes);
    print_value(out, "joins_total", entry_counters.joins);
    print_value(out, "groups_total", entry_counters.groups);
    print_value(out, "callers_gone_total", entry_counters.callers_gone);
    print_value(out, "late_frames_total", entry_counters.late_frames);
    print_value(out, "refused_bad_total", refused);
    print_value(out, "link_control_bytes_total", link_control_bytes());
    print_value(out, "link_data_bytes_total", link_data_bytes());
    print_value(out, "store_calls_total", store_call_count());
    for (int reason = 0; reason < REASON_COUNT; reason++) {
        for (int outcome = 0; outcome <= OUTCOME_UNKNOWN; outcome++) {
            if (failed[reason][outcome] > 0) {
                g_string_append_printf(
                    out,
                    "dandelionfork_failed_total{reason=\"%s\","
                    "outcome=\"%s\"} %" PRIu64 "\n",
                    reason_name((enum reason)reason),
                    outcome_name((enum outcome)outcome),
                    failed[reason][outcome]);
            }
        }
    }
    histogram_print_all(out);
}
