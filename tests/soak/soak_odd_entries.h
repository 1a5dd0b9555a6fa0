#ifndef TESTS_SOAK_ODD_ENTRIES_H
#define TESTS_SOAK_ODD_ENTRIES_H

#include <stdint.h>

/* Entries of another writer beside those of the workers: each field missing,
   of another type or too large, ports out of range, unknown states and
   services, deep nesting, garbage. None names a worker to use. Main thread
   only. */

/* Number of odd entries. */
uint32_t soak_odd_entries_count(void);

/* Writes all of them under keys of their own, with the address of a worker of
   another service, and one after the other under the key of the worker, from
   the first one on. Blocks until the store has accepted them. */
void soak_odd_entries_write(uint32_t worker, uint32_t first);

/* Removes those with keys of their own. */
void soak_odd_entries_remove(void);

#endif
