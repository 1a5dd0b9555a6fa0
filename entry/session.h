#ifndef ENTRY_SESSION_H
#define ENTRY_SESSION_H

#include <stdint.h>

/* The callers' side of requests in progress at this entry: reads each, finds
   its route, claims its key, has it run, and answers truthfully. Loop thread
   only. */

struct claims;
struct exchange;
struct loop;
struct members;
struct requests;
struct sessions;
struct worker_pool;

struct sessions_settings {
    const char *account_header;
    const char *time_limit_header;
};

struct sessions *
sessions_create(struct loop *loop, const struct sessions_settings *settings,
                struct members *members, struct requests *requests,
                struct worker_pool *workers, struct claims *claims);

/* From the front. */
void sessions_request(struct sessions *sessions, struct exchange *exchange);
void sessions_closed(struct sessions *sessions, struct exchange *exchange);
void sessions_gone(struct sessions *sessions, struct exchange *exchange);
void sessions_consumed(struct sessions *sessions, struct exchange *exchange,
                       uint64_t bytes);

#endif
