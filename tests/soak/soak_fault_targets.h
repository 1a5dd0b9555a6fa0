#ifndef TESTS_SOAK_FAULT_TARGETS_H
#define TESTS_SOAK_FAULT_TARGETS_H

#include <glib.h>
#include <stdint.h>

#include "tests/soak/soak_fault_kinds.h"

/* The processes and proxies that faults disturb. Main thread only. */

struct soak_fleet;
struct soak_process;
struct soak_proxy;

/* NULL if the kind disturbs none. */
struct soak_proxy *soak_fault_proxy(const struct soak_fleet *fleet,
                                    enum fault_kind kind, uint32_t index);
struct soak_process *soak_fault_process(const struct soak_fleet *fleet,
                                        enum fault_kind kind, uint32_t index);

/* Delays, holds, resets or refuses the proxy's connections, as drawn. */
void soak_fault_disturb_proxy(struct soak_proxy *proxy, GRand *random);

/* Sends the signal by which the fault begins. */
void soak_fault_signal(struct soak_process *process, enum fault_kind kind);

#endif
