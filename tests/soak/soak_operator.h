#ifndef TESTS_SOAK_OPERATOR_H
#define TESTS_SOAK_OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

/* What operators and workers write into the store, past all faults, and the
   stand-ins' own switches. Main thread only, but for soak_operator_key() and
   soak_operator_version(). */

void soak_operator_init(const char *ip);

/* Writes the next version: one route more. */
void soak_operator_configure(void);
/* Writes the next version: a new key, and the one before is removed. */
void soak_operator_change_key(void);

/* The newest key, the newest version. Any thread. */
uint32_t soak_operator_key(void);
uint32_t soak_operator_version(void);

/* The worker's entry in the store: "ready" or "draining"; NULL: none. */
void soak_operator_register(uint32_t worker, const char *state);

/* Uses a switch of the store's or a worker's stand-in. Returns whether it
   answered. */
bool soak_operator_switch_store(const char *what);
bool soak_operator_switch_worker(uint32_t worker, const char *what);

/* Memory set aside at a worker; -1: it does not answer. */
int64_t soak_operator_held(uint32_t worker);

/* Whether a gateway says that it is ready. */
bool soak_operator_gateway_ready(uint32_t gateway);

#endif
