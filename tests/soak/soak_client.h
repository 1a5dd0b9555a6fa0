#ifndef TESTS_SOAK_CLIENT_H
#define TESTS_SOAK_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A blocking HTTP client on one connection, which tells all that a caller can
   see of an answer and never sends anything again. */

enum soak_end {
    SOAK_UNSENT, /* no connection */
    SOAK_WHOLE,  /* a complete answer */
    SOAK_CUT,    /* the connection ended without one */
    SOAK_LEFT,   /* the caller has left, or its time was over */
    SOAK_BAD,    /* bytes that are no answer */
};

struct soak_answer {
    enum soak_end end;
    uint32_t status; /* 0: no head was read */
    GString *body;
    bool has_signature;
    char id[64]; /* as the answer repeats it */
};

struct soak_client;

struct soak_client *soak_client_create(const char *ip, uint16_t port);
void soak_client_destroy(struct soak_client *client);

/* Whether the next request goes to a kept connection. */
bool soak_client_is_open(const struct soak_client *client);

/* Sends a request and reads its answer, until the caller leaves after
   leave_ms. Fills *answer; clear it with soak_answer_clear(). */
void soak_client_call(struct soak_client *client, const char *request,
                      uint64_t leave_ms, struct soak_answer *answer);
void soak_answer_clear(struct soak_answer *answer);

#endif
