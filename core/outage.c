#include "core/outage.h"

#include <glib.h>

enum {
    /* Endpoints in a row: fewer fail together when a rack is lost. */
    MIN_UNREACHABLE = 3,
    /* Between two of them, at most; also how long a suspicion is remembered:
       one more failure then renews it. */
    WINDOW_MS = 1500,
    /* How long the endpoints are left out, before one of them is tried. */
    SUSPICION_MS = 500,
};

uint64_t
outage_record_unreachable(struct outage *outage, uint64_t now_ms)
{
    bool suspected_lately = outage->suspected_until_ms != 0 &&
                            now_ms < outage->suspected_until_ms + WINDOW_MS;

    if (now_ms > outage->unreachable_ms + WINDOW_MS) {
        outage->unreachable = 0;
    }
    outage->unreachable++;
    outage->unreachable_ms = now_ms;
    if (outage->unreachable < MIN_UNREACHABLE && !suspected_lately) {
        return 0;
    }
    outage->suspected_until_ms = now_ms + SUSPICION_MS;
    return outage->suspected_until_ms;
}

void
outage_record_reached(struct outage *outage)
{
    *outage = (struct outage){0};
}
