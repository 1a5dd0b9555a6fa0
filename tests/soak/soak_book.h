#ifndef TESTS_SOAK_BOOK_H
#define TESTS_SOAK_BOOK_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/soak/soak_client.h"

/* What callers asked and were told, what the workers ran, what the operators
   have changed, and the promises that these have to keep. A broken one is
   printed at once, with what shows it. Thread safe. Times are of
   fake_clock_ms(). */

enum {
    SOAK_GATEWAYS = 5, /* one more than follow the store in any case */
    SOAK_WORKERS = 5,
    SOAK_PLAIN_WORKERS = 2, /* the first ones; the others are model engines */
    SOAK_KEYS = 256,
    /* The promises' times, as the gateways' settings and the users' pages
       have them. */
    SOAK_CONTACT_MS = 4000,
    SOAK_REVOKE_MS = 5000,
    SOAK_DRAIN_MS = 2000,
    SOAK_APPLY_MS = 2000,
    SOAK_SLACK_MS = 500,
};

enum soak_kind {
    SOAK_SAFE,    /* plain, with a key, may be repeated */
    SOAK_ONCE,    /* plain, may run once */
    SOAK_SLOW,    /* plain, slower than its caller waits */
    SOAK_STREAM,  /* events, may go on elsewhere */
    SOAK_LARGE,   /* as that, larger than one engine's memory */
    SOAK_VERSION, /* on a route that a version has added */
    SOAK_KIND_COUNT,
};

struct soak_request {
    char id[32];
    enum soak_kind kind;
    uint32_t gateway;
    uint32_t life;    /* of the gateway, when it was sent */
    uint32_t key;     /* number of the key sent */
    uint32_t version; /* whose route it is on */
    bool on_kept;     /* sent on a connection that was kept */
    uint32_t events;
    uint64_t sent_ms;
    uint64_t limit_ms; /* the caller's own */
    uint64_t leave_ms; /* when it leaves in any case */
    uint64_t ended_ms; /* 0: not yet */
    enum soak_end end;
    uint32_t status;
    uint32_t runs;
    uint64_t ran_ms; /* the last run began */
};

void soak_book_init(uint64_t seed);

/* Prints a broken promise. */
__attribute__((format(printf, 2, 3))) void
soak_book_fail(const char *promise, const char *format, ...);
uint32_t soak_book_failures(void);

/* A request is about to be sent, and has ended for its caller. */
struct soak_request *soak_book_sent(const struct soak_request *request);
void soak_book_ended(struct soak_request *request,
                     const struct soak_answer *answer, uint64_t now_ms);

/* A line of a worker's output. */
void soak_book_worker_line(uint32_t worker, const char *line);

/* The operators' changes, as the store has accepted them. */
void soak_book_key_added(uint32_t key, uint64_t now_ms);
void soak_book_key_removed(uint32_t key, uint64_t now_ms);
void soak_book_version(uint32_t version, uint64_t now_ms);
void soak_book_leaving(uint32_t worker, bool leaving, uint64_t now_ms);

/* What can be said only when everything is over. */
void soak_book_close(void);

#endif
