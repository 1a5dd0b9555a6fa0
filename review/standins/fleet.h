#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Starts the store, the workers and the gateways of a case as separate
   processes on loopback addresses, and speaks HTTP with them. Arguments of a
   case: REPOSITORY STANDINS RECORD, the folder of the stand-ins and the file
   to write. */

enum {
    FLEET_MAX_GATEWAYS = 4,
    FLEET_MAX_WORKERS = 20,
    FLEET_BROKEN = 1,
    FLEET_HELD = 0,
    FLEET_CANNOT_RUN = 2,
};

struct fleet {
    int gateways;
    int workers;
    uint16_t store_port;
    uint16_t worker_ports[FLEET_MAX_WORKERS];
    /* Set before fleet_start(); NULL: raspored. */
    const char *worker_services[FLEET_MAX_WORKERS];
    uint16_t gateway_ports[FLEET_MAX_GATEWAYS];
    uint16_t status_ports[FLEET_MAX_GATEWAYS];
    pid_t gateway_pids[FLEET_MAX_GATEWAYS];
    char folder[64]; /* temporary */
};

struct answer {
    int status; /* 0: none */
    char text[512];
};

extern struct fleet fleet;

/* Whether the disruption is on: not with TROUBLE=0. */
bool trouble(void);

uint64_t now_ms(void); /* since the start of the case */
void sleep_ms(uint64_t ms);

/* Writes a line to the record. */
__attribute__((format(printf, 1, 2))) void record(const char *format, ...);

/* Ends the case with that exit status, after all processes have ended. */
__attribute__((noreturn)) void finish(int status);

/* Starts all processes, writes the configuration to the store, and waits until
   the gateways are ready. Each worker registers and renews its entry every
   1,200 ms. Ends the case with FLEET_CANNOT_RUN on failure. */
void fleet_start(int argc, char **argv, int gateways, int workers,
                 const char *config);

/* Writes an item as the operator does. Returns whether the store accepted it.
 */
bool operator_write(const char *key, const char *value);

/* Return -1 if there is no connection. receive_buffer_bytes: of the caller's
   socket; 0: the system's default. */
int dial(uint16_t port);
int dial_with_buffer(uint16_t port, int receive_buffer_bytes);

/* Sends a request on a new connection and reads the answer to its end. */
void call(uint16_t port, const char *method, const char *target,
          const char *headers, const char *body, struct answer *answer);

/* How many times the workers say that they have run the request, and whether
   one sent its whole stream. */
int count_runs(const char *attempt_id);
int worker_runs(int worker, const char *attempt_id);
bool stream_was_whole(const char *attempt_id);

/* Appends what the workers ran to the record. */
void record_runs(void);

#endif
