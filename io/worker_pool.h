#ifndef IO_WORKER_POOL_H
#define IO_WORKER_POOL_H

#include <stdint.h>

/* Threads for calls that block. Jobs start in the order given; threads are
   added as they are needed, up to a bound. */

struct worker_pool;

struct worker_pool *worker_pool_create(uint32_t max_threads);

/* Runs job(data) on a thread of the pool. */
void worker_pool_run(struct worker_pool *pool, void (*job)(void *data),
                     void *data);

/* Waits for the jobs that run and drops those that wait. */
void worker_pool_destroy(struct worker_pool *pool);

#endif
