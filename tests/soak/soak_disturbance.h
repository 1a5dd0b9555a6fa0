#ifndef TESTS_SOAK_DISTURBANCE_H
#define TESTS_SOAK_DISTURBANCE_H

#include <stdbool.h>
#include <stdint.h>

/* Records when faults disturbed which component. The checker applies a
   guarantee's time bound, except that for removed keys, only where nothing was
   disturbed. Also measures the scheduling lag of the machine. Thread safe.
   Times are of fake_clock_ms(). */

enum soak_disturbance_kind {
    SOAK_DISTURBANCE_GATEWAY, /* the process or its callers' connections */
    SOAK_DISTURBANCE_STORE_CONNECTION, /* of a gateway */
    SOAK_DISTURBANCE_STORE,            /* the store itself */
    SOAK_DISTURBANCE_WORKER,           /* a worker or the connections to it */
    SOAK_DISTURBANCE_RESTART,          /* a gateway's planned end and start */
    SOAK_DISTURBANCE_KIND_COUNT,
};

/* Records the start of a disturbance. index is that of the gateway or worker,
   0 for the store. Returns the number to pass to soak_disturbance_end(). */
uint32_t soak_disturbance_begin(enum soak_disturbance_kind kind,
                                uint32_t index, uint64_t now_ms);
void soak_disturbance_end(uint32_t number, uint64_t now_ms);

/* Whether there was no disturbance of this kind in the interval: at the
   component with this index, or at any. */
bool soak_disturbance_none_at(enum soak_disturbance_kind kind, uint32_t index,
                              uint64_t from_ms, uint64_t to_ms);
bool soak_disturbance_none_anywhere(enum soak_disturbance_kind kind,
                                    uint64_t from_ms, uint64_t to_ms);

/* Starts a thread that measures how long the machine keeps ready threads
   waiting for a processor. If timed is false, the lag counts as unbounded, so
   that no time bound but that for removed keys is checked. Call it once,
   before soak_disturbance_lag_ms(). */
void soak_disturbance_measure_lag(bool timed);

/* Total scheduling lag in the interval. The checker extends each time bound by
   it. */
uint64_t soak_disturbance_lag_ms(uint64_t from_ms, uint64_t to_ms);

#endif
