#ifndef IO_WORKER_POOL_H
#define IO_WORKER_POOL_H

#include <stdint.h>

/* Thread pool for blocking calls. Jobs start in the order in which they were
   submitted. A thread is added when more jobs wait than threads are idle, up
   to max_threads. */

struct worker_pool;

struct worker_pool *worker_pool_create(uint32_t max_threads);

/* Queues job(data) to run on a thread of the pool. Any thread. */
void worker_pool_submit(struct worker_pool *pool, void (*job)(void *data),
                        void *data);

/* Waits for running jobs to end. Queued jobs are dropped, and their data is
   not freed. */
void worker_pool_destroy(struct worker_pool *pool);

#endif
