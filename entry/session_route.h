#ifndef ENTRY_SESSION_ROUTE_H
#define ENTRY_SESSION_ROUTE_H

#include <stdbool.h>

/* Checks a caller's request, finds its route by the configuration in force,
   and starts it, or responds with an error. */

struct session;

/* Returns false if the request is refused for its headers. */
bool session_route_check_headers(struct session *session);

/* A large prompt is parsed on another thread first. */
void session_route_begin(struct session *session);

#endif
