#ifndef GATEWAY_EXPLAIN_H
#define GATEWAY_EXPLAIN_H

#include <stdbool.h>
#include <stdint.h>

/* Answers what the gateway would do now with a request, for operators. It
   calls the functions that decide about real requests, on a copy of the state
   that they change: it sends, counts, holds and logs nothing. An answer has no
   API keys, no path and no parts of prompts. Loop thread only. */

struct explain;
struct explain_question;
struct forwarder;
struct status_reply;
struct _GString;

enum {
    /* Answers in any one second. One that names 78 endpoints takes 0.7 ms,
       nine times the decision about a request. */
    EXPLAIN_MAX_PER_S = 20,
};

/* Borrows the forwarder for the process's life. */
struct explain *explain_create(struct forwarder *forwarder);
void explain_destroy(struct explain *explain);

/* For status_server_add(), with the struct explain as data: appends the answer
   to the question in the query, as JSON. The status is 400 if the query is
   wrong and 429 above EXPLAIN_MAX_PER_S. */
void explain_reply(void *data, const char *query, struct _GString *out,
                   struct status_reply *reply);

/* Whether one more answer may be given now; if so, it is counted. */
bool explain_may_answer(struct explain *explain, uint64_t now_ms);

/* Appends the answer to out. */
void explain_write(const struct forwarder *forwarder,
                   const struct explain_question *question,
                   struct _GString *out);

#endif
