#include "io/worker_pool.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

struct job {
    void (*run)(void *data);
    void *data;
};

struct worker_pool {
    pthread_mutex_t lock;
    pthread_cond_t wakeup;
    GQueue jobs;     /* struct job */
    GArray *threads; /* pthread_t */
    uint32_t max_threads;
    uint32_t idle_threads;
    bool stopping;
};

struct worker_pool *
worker_pool_create(uint32_t max_threads)
{
    struct worker_pool *pool = g_new0(struct worker_pool, 1);

    pthread_mutex_init(&pool->lock, NULL);
    pthread_cond_init(&pool->wakeup, NULL);
    g_queue_init(&pool->jobs);
    pool->threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
    pool->max_threads = max_threads;
    return pool;
}

/* Called with the lock held. Returns NULL if the pool is being destroyed. */
static struct job *
wait_for_job(struct worker_pool *pool)
{
    pool->idle_threads++;
    while (g_queue_is_empty(&pool->jobs) && !pool->stopping) {
        pthread_cond_wait(&pool->wakeup, &pool->lock);
    }
    pool->idle_threads--;
    return pool->stopping ? NULL : g_queue_pop_head(&pool->jobs);
}

static void *
run_jobs(void *data)
{
    struct worker_pool *pool = data;
    struct job *job;

    pthread_mutex_lock(&pool->lock);
    while ((job = wait_for_job(pool)) != NULL) {
        pthread_mutex_unlock(&pool->lock);
        job->run(job->data);
        g_free(job);
        pthread_mutex_lock(&pool->lock);
    }
    pthread_mutex_unlock(&pool->lock);
    return NULL;
}

void
worker_pool_submit(struct worker_pool *pool, void (*job)(void *data),
                   void *data)
{
    struct job *queued = g_new0(struct job, 1);
    pthread_t thread;

    queued->run = job;
    queued->data = data;
    pthread_mutex_lock(&pool->lock);
    g_queue_push_tail(&pool->jobs, queued);
    if (g_queue_get_length(&pool->jobs) > pool->idle_threads &&
        pool->threads->len < pool->max_threads &&
        pthread_create(&thread, NULL, run_jobs, pool) == 0) {
        g_array_append_val(pool->threads, thread);
    }
    pthread_cond_signal(&pool->wakeup);
    pthread_mutex_unlock(&pool->lock);
}

void
worker_pool_destroy(struct worker_pool *pool)
{
    struct job *job;

    if (pool == NULL) {
        return;
    }
    pthread_mutex_lock(&pool->lock);
    pool->stopping = true;
    pthread_cond_broadcast(&pool->wakeup);
    pthread_mutex_unlock(&pool->lock);
    for (guint i = 0; i < pool->threads->len; i++) {
        pthread_join(g_array_index(pool->threads, pthread_t, i), NULL);
    }
    while ((job = g_queue_pop_head(&pool->jobs)) != NULL) {
        g_free(job);
    }
    g_array_unref(pool->threads);
    pthread_cond_destroy(&pool->wakeup);
    pthread_mutex_destroy(&pool->lock);
    g_free(pool);
}
