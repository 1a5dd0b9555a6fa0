#ifndef GATEWAY_GATEWAY_COUNTERS_H
#define GATEWAY_GATEWAY_COUNTERS_H

#include <stdint.h>

/* Counters and histograms of dandelionfork-gateway. Loop thread only. */

struct _GString;

enum gateway_counter {
    COUNT_REQUESTS,           /* of callers, complete */
    COUNT_ANSWERED,           /* with an endpoint's answer, whole */
    COUNT_REFUSED_NOT_RUN,    /* 503 */
    COUNT_REFUSED_FINAL,      /* 401, 404, 400 */
    COUNT_FAILED,             /* 502, 504 */
    COUNT_ABORTED,            /* answers broken off */
    COUNT_CALLER_LEFT,        /* callers that left before the end */
    COUNT_ATTEMPTS,           /* to endpoints */
    COUNT_RETRIES,            /* of a request that was sent before */
    COUNT_RETRY_BUDGET_EMPTY, /* not sent again for want of budget */
    COUNT_RESUMED,            /* streams that went on elsewhere */
    GATEWAY_COUNTERS,
};

void gateway_counters_count(enum gateway_counter counter);

/* Time to the first event or the answer, by prompt length. */
void gateway_counters_add_first_ms(uint64_t prompt_tokens, uint64_t time_ms);

/* Creates the histograms; once. */
void gateway_counters_init(void);

void gateway_counters_print(struct _GString *out);

#endif
