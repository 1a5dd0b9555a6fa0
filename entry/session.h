#ifndef ENTRY_SESSION_H
#define ENTRY_SESSION_H

#include <stdint.h>

/* Callers' requests in progress at this entry, a session for each. A session
   checks the request, finds its route, claims its idempotency key, binds it to
   an endpoint by entry/request.h and sends the response. A response that
   reports a failure also tells whether the request ran. Loop thread only. */

struct claims;
struct endpoint_crashes;
struct exchange;
struct loop;
struct members;
struct requests;
struct sessions;
struct worker_pool;

/* Names of the HTTP headers that give the client account and the time limit in
   milliseconds. The strings are borrowed for the process's life. */
struct sessions_settings {
    const char *account_header;
    const char *time_limit_header;
};

/* Copies settings and borrows the other arguments for the process's life. */
struct sessions *
sessions_create(struct loop *loop, const struct sessions_settings *settings,
                struct members *members, struct requests *requests,
                struct worker_pool *workers, struct claims *claims,
                struct endpoint_crashes *crashes);

/* The process ends, and all requests by end_ms at the latest: those that are
   not expected to end by then are refused. */
void sessions_drain(struct sessions *sessions, uint64_t end_ms);

/* Handle the events of entry/front.h: a complete request has arrived; its
   exchange ends; the caller has disconnected; the connection has taken a part
   of the streamed response, up to this offset in bytes. The last three are
   only for exchanges that were passed to sessions_request(), which sets their
   owner. */
void sessions_request(struct sessions *sessions, struct exchange *exchange);
void sessions_closed(struct sessions *sessions, struct exchange *exchange);
void sessions_disconnected(struct sessions *sessions,
                           struct exchange *exchange);
void sessions_consumed(struct sessions *sessions, struct exchange *exchange,
                       uint64_t bytes);

#endif
