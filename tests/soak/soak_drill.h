#ifndef TESTS_SOAK_DRILL_H
#define TESTS_SOAK_DRILL_H

#include <stdbool.h>
#include <stdint.h>

/* Drills of the store: it is away for a moment and comes back from an older
   copy of itself, at times twice in a row. What the operator and the workers
   have written since is written again within SOAK_DRILL_REWRITE_MS, in any
   order, and at times the operator makes a change before that. One at a time,
   main thread only. */

enum {
    SOAK_DRILL_REWRITE_MS = 2000,
};

/* The store is away from now on. Its copies have at least that age; the seed
   decides the rest. */
void soak_drill_begin(uint32_t seed, uint32_t min_age_ms, uint64_t now_ms);

/* Does what is due. Returns false once the drill has ended: the store has all
   that was written. Call it every few ms, unless the store is suspended. */
bool soak_drill_tick(uint64_t now_ms);

/* Has a drill in progress do the rest in the next calls of soak_drill_tick().
 */
void soak_drill_hurry(uint64_t now_ms);

#endif
