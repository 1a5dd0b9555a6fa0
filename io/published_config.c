#include "io/published_config.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <urcu/urcu-memb.h>

#include "core/config.h"

static pthread_mutex_t publish_lock = PTHREAD_MUTEX_INITIALIZER;
/* C11 atomics replace rcu_assign_pointer() and rcu_dereference(), which
   ThreadSanitizer does not understand. */
static struct config *_Atomic published;

void
published_config_register_thread(void)
{
    urcu_memb_register_thread();
}

const struct config *
published_config_read_lock(void)
{
    urcu_memb_read_lock();
    return atomic_load_explicit(&published, memory_order_acquire);
}

void
published_config_read_unlock(void)
{
    urcu_memb_read_unlock();
}

bool
published_config_publish(struct config *config)
{
    struct config *previous;

    pthread_mutex_lock(&publish_lock);
    previous = published;
    if (previous != NULL &&
        config_generation(config) <= config_generation(previous)) {
        pthread_mutex_unlock(&publish_lock);
        config_destroy(config);
        return false;
    }
    atomic_store_explicit(&published, config, memory_order_release);
    pthread_mutex_unlock(&publish_lock);
    urcu_memb_synchronize_rcu();
    config_destroy(previous);
    return true;
}
