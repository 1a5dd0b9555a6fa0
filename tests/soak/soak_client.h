#ifndef TESTS_SOAK_CLIENT_H
#define TESTS_SOAK_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A blocking HTTP client with one connection. It never retries a request, so
   that each failure is reported. One thread at a time. */

enum soak_outcome {
    SOAK_OUTCOME_UNSENT,   /* the connection could not be made */
    SOAK_OUTCOME_COMPLETE, /* a complete response, of any status */
    /* The connection ended before the response did, or the request could not
       be sent in time. */
    SOAK_OUTCOME_CUT,
    SOAK_OUTCOME_CALLER_LEFT, /* the client disconnected after disconnect_ms */
    SOAK_OUTCOME_INVALID,     /* the response is not valid HTTP */
};

struct soak_response {
    enum soak_outcome outcome;
    uint32_t status; /* 0: no response head was read */
    GString *body;
    bool has_signature;  /* has a Response-Signature header */
    bool says_leaving;   /* has a Server-Leaving header */
    char attempt_id[64]; /* value of the Attempt-Id header */
};

struct soak_client;

/* Copies ip. Connects only on the first request. */
struct soak_client *soak_client_create(const char *ip, uint16_t port);
void soak_client_destroy(struct soak_client *client);

/* Whether the next request reuses the connection of the last one. */
bool soak_client_is_open(const struct soak_client *client);

struct soak_call {
    const char *text; /* the whole request, head and body */
    bool is_head;     /* the response has no body, whatever its head says */
    uint64_t disconnect_ms; /* duration */
    uint32_t read_pause_ms; /* between reads; 0: none */
    uint32_t read_bytes;    /* at most, each time; 0: 16 KiB */
    uint32_t stall_ms;      /* pause after the first read */
};

/* Connects and sends a request without waiting for either, and reads nothing.
 */
void soak_client_send(struct soak_client *client,
                      const struct soak_call *call);

/* Sends a request and reads its response. Waits up to a second for a new
   connection, then up to disconnect_ms for the response. If read_pause_ms is
   not 0, the receive buffer of a new connection is small. Disconnects unless
   the response is complete and lets the connection be reused. A byte that
   belongs to no response, before the request or, if is_head, just after the
   response, makes it invalid. Fills *response; clear it with
   soak_client_clear_response(). */
void soak_client_call(struct soak_client *client, const struct soak_call *call,
                      struct soak_response *response);
void soak_client_clear_response(struct soak_response *response);

#endif
