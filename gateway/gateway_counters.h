#ifndef GATEWAY_GATEWAY_COUNTERS_H
#define GATEWAY_GATEWAY_COUNTERS_H

#include <stdint.h>

/* Counters and histograms of dandelionfork-gateway, one set per process. Loop
   thread only. */

struct _GString;

enum gateway_counter {
    COUNT_REQUESTS,           /* received completely */
    COUNT_ANSWERED,           /* endpoint's response relayed completely */
    COUNT_REFUSED_NOT_RUN,    /* local reply 503 */
    COUNT_REFUSED_FINAL,      /* local reply 400, 401 or 404 */
    COUNT_FAILED,             /* local reply 502 or 504 */
    COUNT_ABORTED,            /* responses cut after their head */
    COUNT_CALLER_LEFT,        /* callers that disconnected early */
    COUNT_ATTEMPTS,           /* requests sent to endpoints */
    COUNT_RETRIES,            /* attempts after a request's first */
    COUNT_RETRY_BUDGET_EMPTY, /* retries refused by the budget */
    COUNT_RESUMED,            /* streams resumed at another endpoint */
    GATEWAY_COUNTERS,
};

/* Adds 1 to a counter. */
void gateway_counters_count(enum gateway_counter counter);

/* Adds a request's time to its first event or complete response to the
   histogram for its prompt length; 0 tokens: not a prompt. */
void gateway_counters_add_first_ms(uint64_t prompt_tokens, uint64_t time_ms);

/* Creates the histograms. Called once, before the other functions. */
void gateway_counters_init(void);

/* Appends all metrics in the Prometheus text format. */
void gateway_counters_print(struct _GString *out);

#endif
