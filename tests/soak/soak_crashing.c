#include "tests/soak/soak_crashing.h"

#include <stdbool.h>

#include "tests/soak/soak_checker.h"
#include "tests/soak/soak_disturbance.h"

enum {
    CRASHES = 3,
    ALLOWED = 3, /* runs after these */
    MAX_REQUESTS = 256,
};

/* What one request has done under all its ids. */
static struct {
    uint32_t crashes;
    uint64_t third_ms; /* the third crash; 0: not yet */
    uint32_t late_runs;
    bool answered;
} requests[MAX_REQUESTS];

void
soak_crashing_record_crash(const struct soak_request *request, uint64_t now_ms)
{
    uint32_t number = request->crashing % MAX_REQUESTS;

    requests[number].crashes++;
    if (requests[number].crashes == CRASHES) {
        requests[number].third_ms = now_ms;
    }
}

void
soak_crashing_record_answer(const struct soak_request *request)
{
    requests[request->crashing % MAX_REQUESTS].answered = true;
}

/* Whether the gateway had learned of the third crash when it got the request:
   nothing has been disturbed for SOAK_SETTLE_MS that could have kept it from
   it. */
static bool
could_know(const struct soak_request *request, uint64_t third_ms)
{
    return third_ms != 0 &&
           request->sent_ms >
               third_ms + SOAK_SETTLE_MS +
                   soak_disturbance_lag_ms(third_ms, request->sent_ms) &&
           soak_checker_follows_store(request, request->sent_ms,
                                      request->sent_ms);
}

void
soak_crashing_record_run(const struct soak_request *request, uint64_t now_ms)
{
    uint32_t number = request->crashing % MAX_REQUESTS;

    if (requests[number].answered ||
        !could_know(request, requests[number].third_ms)) {
        return;
    }
    requests[number].late_runs++;
    if (requests[number].late_runs == ALLOWED + 1) {
        soak_checker_fail("crashing",
                          "%s reaches a worker %lu ms after it has crashed "
                          "the third one, the fourth time",
                          request->id,
                          (unsigned long)(now_ms - requests[number].third_ms));
    }
}
