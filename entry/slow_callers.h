#ifndef ENTRY_SLOW_CALLERS_H
#define ENTRY_SLOW_CALLERS_H

#include <stdint.h>

/* Ends the connections of callers whose requests arrive too slowly. The HTTP
   server's timeout is one of silence: a caller could send a byte now and then
   for ever. A request has that time and, beyond it, what its body takes at
   1 KiB a second. Loop thread only. */

struct loop;
struct slow_callers;
/* An open connection. */
struct slow_caller;

/* idle_ms: time that a request without a body may take. */
struct slow_callers *slow_callers_create(struct loop *loop, uint64_t idle_ms);
/* All connections must have been removed. */
void slow_callers_destroy(struct slow_callers *callers);

/* Adds a connection, from which a request is expected. Its socket is shut down
   if that takes too long. */
struct slow_caller *slow_callers_add(struct slow_callers *callers, int fd);
/* The connection has ended. */
void slow_callers_remove(struct slow_callers *callers,
                         struct slow_caller *caller);

/* A request begins or is expected. */
void slow_caller_expect(struct slow_caller *caller, uint64_t now_ms);
/* So much of the request's body has arrived. */
void slow_caller_set_body(struct slow_caller *caller, uint64_t bytes);
/* The request is complete. */
void slow_caller_complete(struct slow_caller *caller);

#endif
