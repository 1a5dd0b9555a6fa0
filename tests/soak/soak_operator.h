#ifndef TESTS_SOAK_OPERATOR_H
#define TESTS_SOAK_OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

/* Writes configurations and workers' registrations to the store as operators
   and workers do, and sends commands to the fakes and status requests to
   the gateways. All of these go to the processes directly, not through
   proxies. Reports each change to the checker. Main thread only, except
   functions that say otherwise. */

/* Borrows ip, the address of all processes. */
void soak_operator_init(const char *ip);

/* Writes an item of any writer to the store, or removes it. Block until the
   store has accepted it. */
void soak_operator_put(const char *key, const char *value);
void soak_operator_remove(const char *key);

/* Writes the next version of the configuration, with one more route, /vN for
   version N, and with /rN, which the version after it lacks. Blocks until the
   store has accepted it. */
void soak_operator_add_route(void);
/* The same, with 1,600 further routes from now on, or without them. */
void soak_operator_grow(bool grown);
/* The same, and replaces the API key by a new one. */
void soak_operator_replace_key(void);

/* Number of the newest API key, and the newest configuration version. Any
   thread. */
uint32_t soak_operator_newest_key(void);
uint32_t soak_operator_newest_version(void);

/* Writes the worker's registration with state "ready" or "draining", or
   removes it if state is NULL. Blocks until the store has accepted it. */
void soak_operator_set_registration(uint32_t worker, const char *state);

/* The same as it is, in place of what another writer has put there. */
void soak_operator_register_again(uint32_t worker);
/* A worker that has written that it drains, or the other one if none has. */
uint32_t soak_operator_draining_worker(uint32_t otherwise);
/* Where gateways reach the worker. Free it with g_free(). */
char *soak_operator_worker_address(uint32_t worker);

/* Evacuates a data centre, or takes that back. Blocks until the store has
   accepted it. */
void soak_operator_evacuate(uint32_t zone, bool evacuated);

/* The store comes back from a copy of itself of that age. Returns whether it
   got the command. What it may lack is written again, as it is by then, by
   soak_operator_write_lost(), one item each time: the next one from first on,
   any number. That returns false if there was none. */
bool soak_operator_drill(uint32_t age_ms);
bool soak_operator_write_lost(uint32_t first);

/* Lets callers send a request that crashes the plain workers, another one each
   time, until soak_operator_end_crashing(). Meanwhile these are registered
   without their proxies, which would accept connections for a worker that has
   crashed. */
void soak_operator_begin_crashing(void);
void soak_operator_end_crashing(void);
/* Number of that request; 0: none. Any thread. */
uint32_t soak_operator_crashing(void);
/* Has the worker crash on it. Returns whether it got the command. */
bool soak_operator_arm_worker(uint32_t worker);

/* The worker is cold for that time (a duration), and crashes above the bound
   once the gateways have had time to know it. If says, its registration is
   written again and says so; otherwise the gateways must know it, since its
   data centre was evacuated until now. Returns whether it got the command. A
   worker without a registration stays as it is. */
bool soak_operator_make_cold(uint32_t worker, uint64_t cold_ms, bool says);

/* From now on the worker's registrations show another start of its instance.
 */
void soak_operator_new_instance(uint32_t worker);

/* Sends a command, the rest of a path under /control/ (see fake_users_store.c
   and fake_worker.c), to a fake. Returns whether it succeeded within a
   second. */
bool soak_operator_control_store(const char *command);
bool soak_operator_control_worker(uint32_t worker, const char *command);
bool soak_operator_control_worker_with(uint32_t worker, const char *command,
                                       const char *body);

/* KV memory reserved at a worker, in tokens; -1 if the worker doesn't respond.
 */
int64_t soak_operator_reserved_tokens(uint32_t worker);

/* Whether a gateway reports itself as ready. */
bool soak_operator_gateway_ready(uint32_t gateway);

#endif
