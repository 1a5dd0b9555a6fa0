#include "tests/soak/soak_fault_targets.h"

#include <signal.h>

#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_proxy.h"

enum {
    MIN_DELAY_MS = 20,
    MAX_DELAY_MS = 300,
};

struct soak_proxy *
soak_fault_proxy(const struct soak_fleet *fleet, enum fault_kind kind,
                 uint32_t index)
{
    switch (kind) {
    case FAULT_CALLERS_PROXY:
        return fleet->callers_proxy[index];
    case FAULT_STORE_PROXY:
        return fleet->store_proxy[index];
    case FAULT_WORKER_PROXY:
        return fleet->worker_proxy[index];
    default:
        return NULL;
    }
}

struct soak_process *
soak_fault_process(const struct soak_fleet *fleet, enum fault_kind kind,
                   uint32_t index)
{
    switch (kind) {
    case FAULT_PAUSE_GATEWAY:
    case FAULT_KILL_GATEWAY:
    case FAULT_TERM_GATEWAY:
    case FAULT_HUP_GATEWAY:
        return fleet->gateways[index];
    case FAULT_PAUSE_WORKER:
    case FAULT_KILL_WORKER:
        return fleet->workers[index];
    case FAULT_STORE_PAUSE:
        return fleet->store;
    default:
        return NULL;
    }
}

void
soak_fault_disturb_proxy(struct soak_proxy *proxy, GRand *random)
{
    static const enum soak_proxy_mode modes[] = {
        SOAK_PROXY_PASS,           SOAK_PROXY_DELAY,
        SOAK_PROXY_HOLD_TO_SERVER, SOAK_PROXY_HOLD_FROM_SERVER,
        SOAK_PROXY_HOLD_BOTH,      SOAK_PROXY_REFUSE};
    enum soak_proxy_mode mode =
        modes[g_rand_int_range(random, 0, G_N_ELEMENTS(modes))];

    soak_proxy_set_mode(
        proxy, mode,
        (uint32_t)g_rand_int_range(random, MIN_DELAY_MS, MAX_DELAY_MS));
    if (mode == SOAK_PROXY_PASS || mode == SOAK_PROXY_REFUSE) {
        soak_proxy_reset(proxy);
    }
}

void
soak_fault_signal(struct soak_process *process, enum fault_kind kind)
{
    switch (kind) {
    case FAULT_PAUSE_GATEWAY:
    case FAULT_PAUSE_WORKER:
    case FAULT_STORE_PAUSE:
        soak_process_signal(process, SIGSTOP);
        break;
    case FAULT_KILL_GATEWAY:
    case FAULT_KILL_WORKER:
        soak_process_signal(process, SIGKILL);
        break;
    case FAULT_TERM_GATEWAY:
        soak_process_signal(process, SIGTERM);
        break;
    case FAULT_HUP_GATEWAY:
        if (soak_process_has_started(process)) {
            soak_process_signal(process, SIGHUP);
        }
        break;
    default:
        break;
    }
}
