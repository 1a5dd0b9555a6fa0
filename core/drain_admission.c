#include "core/drain_admission.h"

#include <glib.h>

#include "core/recent_durations.h"

/* Share of the recent requests by which one that may be repeated is expected
   to end: at most one in ten is broken off. One that may not be repeated
   counts as taking as long as the longest. */
static const double usual_share = 0.9;

struct drain_admission {
    struct recent_durations *durations;
    uint64_t stop_ms; /* 0: the process does not drain */
};

struct drain_admission *
drain_admission_create(void)
{
    struct drain_admission *admission = g_new0(struct drain_admission, 1);

    admission->durations = recent_durations_create();
    return admission;
}

void
drain_admission_destroy(struct drain_admission *admission)
{
    if (admission != NULL) {
        recent_durations_destroy(admission->durations);
        g_free(admission);
    }
}

void
drain_admission_record(struct drain_admission *admission, const char *route,
                       uint64_t duration_ms)
{
    recent_durations_record(admission->durations, route, duration_ms);
}

void
drain_admission_begin(struct drain_admission *admission, uint64_t stop_ms)
{
    admission->stop_ms = stop_ms;
}

bool
drain_admission_takes(const struct drain_admission *admission,
                      const char *route, const struct drain_request *request,
                      uint64_t now_ms)
{
    uint64_t left_ms = admission->stop_ms - MIN(admission->stop_ms, now_ms);
    uint64_t expected_ms;

    if (admission->stop_ms == 0 || request->limit_left_ms <= left_ms) {
        return true;
    }
    expected_ms = recent_durations_quantile(
        admission->durations, route, request->may_repeat ? usual_share : 1.0);
    if (expected_ms == UINT64_MAX) {
        /* Without experience a refusal of what may be repeated is no better
           than the try. */
        return request->may_repeat;
    }
    return expected_ms <= left_ms;
}
