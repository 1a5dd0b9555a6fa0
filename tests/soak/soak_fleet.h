#ifndef TESTS_SOAK_FLEET_H
#define TESTS_SOAK_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/soak/soak_book.h"

/* The processes: the users' store, workers and gateways, each behind proxies,
   and their ends. Main thread only, but for the functions that say otherwise.
   */

struct soak_proxy;

struct soak_fleet_settings {
    const char *bin;  /* folder with the programs */
    const char *work; /* folder for settings and logs */
    const char *ip;
};

struct soak_process;

struct soak_fleet {
    struct soak_fleet_settings settings;
    struct soak_process *store;
    struct soak_process *workers[SOAK_WORKERS];
    struct soak_process *gateways[SOAK_GATEWAYS];
    struct soak_proxy *callers_way[SOAK_GATEWAYS];
    struct soak_proxy *store_way[SOAK_GATEWAYS];
    struct soak_proxy *worker_way[SOAK_WORKERS];
};

/* Ports: of the store, of the workers and gateways counted from 0, and of what
   they are reached by. */
enum {
    SOAK_STORE_PORT = 7000,
    SOAK_WORKER_PORT = 7401,
    SOAK_GATEWAY_PORT = 7501,
    SOAK_STATUS_PORT = 7511,
    SOAK_METRICS_PORT = 7521,
    SOAK_PEER_PORT = 7531,
    SOAK_CALLERS_WAY_PORT = 7601,
    SOAK_STORE_WAY_PORT = 7701,
    SOAK_WORKER_WAY_PORT = 7801,
};

/* Starts the store and the workers. */
void soak_fleet_create(struct soak_fleet *fleet,
                       const struct soak_fleet_settings *settings);

/* Starts what is not running. */
void soak_process_start(struct soak_process *process);
/* Sends a signal. After SIGTERM and SIGKILL the process is expected to end. */
void soak_process_signal(struct soak_process *process, int signal_number);
bool soak_process_is_running(const struct soak_process *process);
/* Whether a gateway has said that it has started: before its first instruction
   a signal would end any process. */
bool soak_process_has_started(const struct soak_process *process);
/* How often it was started. Any thread. */
uint32_t soak_process_life(const struct soak_process *process);

/* Notes the processes that have ended; who wasn't told to breaks a promise. */
void soak_fleet_reap(struct soak_fleet *fleet);

/* Hands the workers' new lines to the book. */
void soak_fleet_read_workers(struct soak_fleet *fleet);

/* Ends all processes. */
void soak_fleet_destroy(struct soak_fleet *fleet);

#endif
