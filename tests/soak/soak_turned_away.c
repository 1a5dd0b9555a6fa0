#include "tests/soak/soak_turned_away.h"

#include "tests/soak/soak_checker.h"
#include "tests/soak/soak_disturbance.h"

enum {
    /* From the refusal until the gateway must keep to it. */
    GRACE_MS = 500,
    ALLOWED = 2,
};

/* The time in which a worker wants no requests of a gateway. */
struct closed {
    uint64_t refused_ms; /* 0: there was none */
    uint64_t until_ms;
    uint32_t incarnation; /* of the gateway */
    uint32_t arrivals;
};

static struct closed closed_times[SOAK_GATEWAYS][SOAK_WORKERS];

void
soak_turned_away_record_arrival(const struct soak_request *request,
                                uint32_t worker, uint64_t now_ms)
{
    struct closed *closed = &closed_times[request->gateway][worker];
    uint64_t from_ms = closed->refused_ms + GRACE_MS +
                       soak_disturbance_lag_ms(closed->refused_ms, now_ms);

    if (closed->refused_ms == 0 || now_ms <= from_ms ||
        now_ms >= closed->until_ms ||
        request->incarnation != closed->incarnation ||
        !soak_disturbance_none_at(SOAK_DISTURBANCE_GATEWAY, request->gateway,
                                  closed->refused_ms - SOAK_SETTLE_MS,
                                  now_ms) ||
        !soak_disturbance_none_at(SOAK_DISTURBANCE_WORKER, worker,
                                  closed->refused_ms - SOAK_SETTLE_MS,
                                  now_ms)) {
        return;
    }
    closed->arrivals++;
    if (closed->arrivals == ALLOWED + 1) {
        soak_checker_fail(
            "turned-away",
            "worker-%u gets %s of gateway-%u %lu ms after it has "
            "refused one, and wants none for %lu ms",
            worker + 1, request->id, request->gateway + 1,
            (unsigned long)(now_ms - closed->refused_ms),
            (unsigned long)(closed->until_ms - closed->refused_ms));
    }
}

void
soak_turned_away_record_refusal(const struct soak_request *request,
                                uint32_t worker, uint64_t now_ms,
                                uint64_t retry_after_ms)
{
    struct closed *closed = &closed_times[request->gateway][worker];

    if (now_ms >= closed->until_ms ||
        request->incarnation != closed->incarnation) {
        *closed = (struct closed){.refused_ms = now_ms,
                                  .until_ms = now_ms + retry_after_ms,
                                  .incarnation = request->incarnation};
    }
}
