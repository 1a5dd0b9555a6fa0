#ifndef IO_HTTP_CALL_H
#define IO_HTTP_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "io/http_message.h"

/* Blocking HTTP client for calls to endpoints and to the platform. Only one
   thread may use a session at a time. A response has a bound in time as a
   whole and one for each part, and its head one in bytes. */

struct http_session;

enum http_error {
    HTTP_ERROR_NOT_SENT,          /* no connection; the request was not sent */
    HTTP_ERROR_NO_RESPONSE,       /* perhaps sent, but no complete response */
    HTTP_ERROR_RESPONSE_TOO_LONG, /* the response body exceeds max_bytes */
};

/* Domain of the GErrors, with codes of enum http_error. */
GQuark http_error_quark(void);

struct http_request {
    const char *method;
    const char *path;         /* with the query, if any */
    const char *content_type; /* NULL or "": no such header */
    const struct http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_bytes;
    /* One of the headers, or NULL: a response with another value of it answers
       another request, and fails the call. Only a connection whose responses
       have it is kept, since a late copy of one can't be told otherwise. */
    const struct http_header *echoed;
    /* Response header to keep for http_session_number(), or NULL. */
    const char *number_header;
};

/* Called with the head of a response, then with each block of its body. If a
   handler returns false, the call fails with HTTP_ERROR_NO_RESPONSE. */
struct http_response_handlers {
    /* content_type is "" if there is no such header. */
    bool (*head)(void *context, uint32_t status, const char *content_type);
    bool (*data)(void *context, const char *bytes, size_t count);
};

/* With reuse the session keeps its connection open for the next call, and
   sends a request once more if that turns out to be closed. So sessions for
   calls that must not be repeated don't reuse connections. */
struct http_session *http_session_create(const char *ip, uint16_t port,
                                         bool reuse);
void http_session_destroy(struct http_session *session);

/* Sets the timeouts of the next calls, in seconds, at least 1: of connecting,
   of each pause within a response, and of a call as a whole. */
void http_session_set_timeouts(struct http_session *session,
                               uint32_t connect_s, uint32_t read_s,
                               uint32_t total_s);

/* Makes a call and passes the response to the handlers as it arrives. Returns
   false with an error unless the response was complete. */
bool http_call_stream(struct http_session *session,
                      const struct http_request *request,
                      const struct http_response_handlers *handlers,
                      void *context, GError **error);

/* Makes a call and appends the response body, of at most max_bytes, to body;
   if body is NULL, the response body is discarded. Returns the HTTP status, or
   0 with an error. */
uint32_t http_call_fetch(struct http_session *session,
                         const struct http_request *request, GByteArray *body,
                         size_t max_bytes, GError **error);

#define HTTP_NO_NUMBER UINT64_MAX

/* Returns the request's number_header of the last response, HTTP_NO_NUMBER if
   it had none or a malformed one. */
uint64_t http_session_number(const struct http_session *session);

#endif
