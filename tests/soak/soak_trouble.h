#ifndef TESTS_SOAK_TROUBLE_H
#define TESTS_SOAK_TROUBLE_H

#include <stdbool.h>
#include <stdint.h>

/* When what was disturbed: promises with a time bound hold only where nothing
   was. Thread safe. Times are of fake_clock_ms(). */

enum soak_place {
    SOAK_GATEWAY,   /* the process, or its callers' connections */
    SOAK_STORE_WAY, /* a gateway's way to the store */
    SOAK_STORE,     /* the store itself */
    SOAK_WORKER,    /* a worker, or the way to it */
    SOAK_PLANNED,   /* a gateway was told to end, and started again */
    SOAK_PLACE_COUNT,
};

/* Begins a disturbance; index: of the gateway or worker. Returns its number,
   to end it with. */
uint32_t soak_trouble_begin(enum soak_place place, uint32_t index,
                            uint64_t now_ms);
void soak_trouble_end(uint32_t number, uint64_t now_ms);

/* Whether there was none of that kind from a time to another one. */
bool soak_trouble_free(enum soak_place place, uint32_t index, uint64_t from_ms,
                       uint64_t to_ms);
bool soak_trouble_free_all(enum soak_place place, uint64_t from_ms,
                           uint64_t to_ms);

/* Measures, in a thread of its own, how long this machine lets ready threads
   wait. Not timed: the wait counts as endless, so that no bound in time is
   judged. */
void soak_lag_start(bool timed);

/* What waiting took within that time beside the wait itself: bounds in time
   are longer by it. */
uint64_t soak_lag_ms(uint64_t from_ms, uint64_t to_ms);

#endif
