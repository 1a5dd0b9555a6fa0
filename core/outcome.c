#include "core/outcome.h"

const char *
outcome_name(enum outcome outcome)
{
    switch (outcome) {
    case OUTCOME_NOT_RUN:
        return "not-run";
    case OUTCOME_RAN:
        return "ran";
    case OUTCOME_UNKNOWN:
        break;
    }
    return "unknown";
}

const char *
reason_name(enum reason reason)
{
    static const char *const names[REASON_COUNT] = {
        [REASON_NONE] = "none",
        [REASON_OVERLOADED] = "overloaded",
        [REASON_NO_ENDPOINT] = "no-endpoint",
        [REASON_TIME_LIMIT] = "time-limit",
        [REASON_ENDPOINT_FAILED] = "endpoint-failed",
        [REASON_LINK_LOST] = "link-lost",
        [REASON_STALE_GRANT] = "stale-grant",
        [REASON_OLD_GENERATION] = "old-generation",
        [REASON_LEAVING] = "leaving",
        [REASON_CANCELLED] = "cancelled",
        [REASON_STORE_DOWN] = "store-down",
        [REASON_KEY_REUSED] = "key-reused",
        [REASON_TOO_LARGE] = "too-large",
    };

    if ((unsigned)reason >= REASON_COUNT) {
        return "unknown";
    }
    return names[reason];
}
