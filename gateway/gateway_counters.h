#ifndef GATEWAY_GATEWAY_COUNTERS_H
#define GATEWAY_GATEWAY_COUNTERS_H

#include <stdint.h>

#include "core/availability.h"

/* Counters and histograms of dandelionfork-gateway, one set per process. Loop
   thread only. */

struct _GString;

enum gateway_counter {
    COUNT_REQUESTS,           /* received completely */
    COUNT_ANSWERED,           /* endpoint's response relayed completely */
    COUNT_REFUSED_NOT_RUN,    /* local reply 503 */
    COUNT_REFUSED_FINAL,      /* local reply 401 or 404 */
    COUNT_FAILED,             /* local reply 502 or 504 */
    COUNT_TRUNCATED,          /* responses ended incomplete after their head */
    COUNT_CALLER_LEFT,        /* callers that disconnected or timed out */
    COUNT_ATTEMPTS,           /* attempts, also those without a connection */
    COUNT_RETRIES,            /* retries that the retry budget allowed */
    COUNT_RETRY_BUDGET_EMPTY, /* retries that the retry budget refused */
    COUNT_RESUMED,            /* retries of streams whose head was sent */
    COUNT_ENDLESS,            /* responses beyond a bound of head or event */
    COUNT_BROKEN_UNANSWERED,  /* attempts that broke before the first event */
    COUNT_QUARANTINED,        /* requests refused for a part of their prompt */
    COUNT_BODIES_REFUSED,     /* large bodies without memory for them */
    COUNT_READERS_ENDED,      /* callers ended for what they did not take */
    COUNT_READERS_STALLED,    /* callers given up that took nothing */
    COUNT_IDLE_CLOSED,        /* idle callers closed for want of descriptors */
    COUNT_ACCEPT_PAUSES,      /* times when no callers were accepted */
    COUNT_UNREAD,             /* attempts that ended while unread */
    COUNT_DELAYED,            /* prompts that waited for engines */
    COUNT_REFUSED_FOR_ROOM,   /* prompts refused, engines being busy */
    COUNT_REFUSED_DRAINING,   /* requests that would not end in the grace */
    COUNT_STOPPED,            /* requests answered or cut at its end */
    COUNT_REFUSED_ITEMS,      /* items of the store that can't be used */
    GATEWAY_COUNTER_COUNT,
};

/* Adds 1 to a counter. */
void gateway_counters_count(enum gateway_counter counter);

/* Adds 1 to the counter of requests that no endpoint could get for the reason
   that would have ended first. */
void gateway_counters_count_unavailable(enum availability_reason reason);

/* Adds the time from a request to the first byte of the response to the caller
   to the histogram for its prompt length; 0 tokens: not a prompt. */
void gateway_counters_add_first_ms(uint64_t prompt_tokens, uint64_t time_ms);

/* Adds the time that a prompt has waited for engines before it was placed. */
void gateway_counters_add_wait_ms(uint64_t time_ms);

/* Creates the histograms. Called once, before the other functions. */
void gateway_counters_init(void);

/* Appends all metrics in the Prometheus text format. */
void gateway_counters_print(struct _GString *out);

#endif
