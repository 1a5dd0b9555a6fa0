#ifndef TESTS_SOAK_FLEET_H
#define TESTS_SOAK_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/soak/soak_checker.h"

/* Starts, signals and ends the processes of a run: the fakes of the users'
   store and workers, and the gateways. Proxies stand in front of the
   gateways and workers, and between each gateway and the store. Main thread
   only, except functions that say otherwise. */

struct soak_proxy;

struct soak_fleet_settings {
    const char *bin_dir;  /* folder of the built programs */
    const char *work_dir; /* folder for the processes' settings and logs */
    const char *ip;       /* loopback address of all processes and proxies */
};

struct soak_process;

struct soak_fleet {
    struct soak_fleet_settings settings;
    struct soak_process *store;
    struct soak_process *workers[SOAK_WORKERS];
    struct soak_process *gateways[SOAK_GATEWAYS];
    struct soak_proxy *callers_proxy[SOAK_GATEWAYS];
    struct soak_proxy *store_proxy[SOAK_GATEWAYS];
    struct soak_proxy *worker_proxy[SOAK_WORKERS];
};

/* Ports. A worker or gateway listens at the port plus its index, as do the
   proxies through which it is reached or reaches the store. */
enum {
    SOAK_STORE_PORT = 7000,
    SOAK_WORKER_PORT = 7401,
    SOAK_GATEWAY_PORT = 7501,
    SOAK_STATUS_PORT = 7511,
    SOAK_METRICS_PORT = 7521,
    SOAK_PEER_PORT = 7531,
    SOAK_CALLERS_PROXY_PORT = 7601,
    SOAK_STORE_PROXY_PORT = 7701,
    SOAK_WORKER_PROXY_PORT = 7801,
    /* That a gateway may have, many more than it needs for the callers. */
    SOAK_GATEWAY_DESCRIPTORS = 400,
};

/* Creates the proxies and processes, and starts the store and the workers, but
   not the gateways. The strings of the settings are borrowed. */
void soak_fleet_create(struct soak_fleet *fleet,
                       const struct soak_fleet_settings *settings);

/* Starts a process, unless it is running. */
void soak_process_start(struct soak_process *process);
/* Sends a signal, if the process is running. After SIGTERM and SIGKILL it is
   expected to exit. */
void soak_process_signal(struct soak_process *process, int signal_number);
/* From now on an exit with status 1 is no broken guarantee. */
void soak_process_may_crash(struct soak_process *process, bool may_crash);
bool soak_process_is_running(const struct soak_process *process);
/* Whether a gateway has logged that it has started. A signal that arrives
   before the process has blocked signals would end it. */
bool soak_process_has_started(const struct soak_process *process);
/* How often the process was started. Any thread. */
uint32_t soak_process_incarnation(const struct soak_process *process);

/* Reaps the processes that have exited. One that wasn't told to end, crashed
   or exited with a status other than 0 breaks the guarantee "alive". */
void soak_fleet_reap(struct soak_fleet *fleet);

/* Passes the new lines of the workers' output to the checker. */
void soak_fleet_read_workers(struct soak_fleet *fleet);

/* Kills all processes and waits for them. */
void soak_fleet_destroy(struct soak_fleet *fleet);

#endif
