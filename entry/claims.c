#include "entry/claims.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "io/log.h"
#include "io/loop.h"
#include "io/store.h"
#include "io/worker_pool.h"

#define LOG_PART "claims"

enum {
    MAX_WRITE_ATTEMPTS = 4
};

struct claims {
    struct loop *loop;
    struct worker_pool *workers;
    char *ip;
    uint16_t port;
    pthread_mutex_t lock;
    GQueue idle_stores; /* struct store, guarded by lock */
};

struct acquisition {
    struct claims *claims;
    char *store_key;
    struct claim claim;
    uint64_t index; /* expected of the stored value; 0: no value */
    struct claims_result result;
    void (*done)(void *data, const struct claims_result *result,
                 uint64_t now_ms);
    void *data;
};

struct claims *
claims_create(struct loop *loop, struct worker_pool *workers, const char *ip,
              uint16_t port)
{
    struct claims *claims = g_new0(struct claims, 1);

    claims->loop = loop;
    claims->workers = workers;
    claims->ip = g_strdup(ip);
    claims->port = port;
    pthread_mutex_init(&claims->lock, NULL);
    g_queue_init(&claims->idle_stores);
    return claims;
}

static struct store *
borrow_store(struct claims *claims)
{
    struct store *store;

    pthread_mutex_lock(&claims->lock);
    store = g_queue_pop_tail(&claims->idle_stores);
    pthread_mutex_unlock(&claims->lock);
    return store != NULL ? store : store_create(claims->ip, claims->port);
}

static void
return_store(struct claims *claims, struct store *store)
{
    pthread_mutex_lock(&claims->lock);
    g_queue_push_tail(&claims->idle_stores, store);
    pthread_mutex_unlock(&claims->lock);
}

enum write_result {
    WRITE_DECIDED,
    WRITE_AGAIN
};

static enum write_result
evaluate_stored(struct acquisition *acquisition,
                const struct store_value *value)
{
    struct claims_result *result = &acquisition->result;

    if (value->bytes == NULL) {
        acquisition->index = 0;
        return WRITE_AGAIN;
    }
    if (!claim_decode(value->bytes, value->count, &result->stored)) {
        LOG_ERR("a claim can't be read", "key=%s", acquisition->store_key);
        result->outcome = CLAIMS_STORE_DOWN;
        return WRITE_DECIDED;
    }
    result->index = value->index;
    switch (claim_compare(&acquisition->claim, &result->stored)) {
    case CLAIM_THIS_ATTEMPT:
        result->outcome = CLAIMS_ACQUIRED;
        return WRITE_DECIDED;
    case CLAIM_KEY_REUSED:
        result->outcome = CLAIMS_KEY_REUSED;
        return WRITE_DECIDED;
    case CLAIM_EARLIER_ATTEMPT:
        break;
    case CLAIM_OTHER_REQUEST:
        if (value->index != acquisition->index) {
            result->outcome = CLAIMS_HELD_BY_OTHER;
            return WRITE_DECIDED;
        }
        /* It is still the claim that this one is to replace. */
        break;
    }
    acquisition->index = value->index;
    return WRITE_AGAIN;
}

/* Writes once, and reads the stored value if the write isn't confirmed. */
static enum write_result
try_write(struct acquisition *acquisition, struct store *store,
          const char *text)
{
    struct store_value value;
    GError *error = NULL;
    enum store_write_result written =
        store_put(store, acquisition->store_key, text, strlen(text),
                  acquisition->index, &error);
    enum write_result result = WRITE_AGAIN;

    if (written == STORE_WRITTEN) {
        acquisition->result.outcome = CLAIMS_ACQUIRED;
        return WRITE_DECIDED;
    }
    if (error != NULL) {
        LOG_WARN("a claim's write is not confirmed", "error=\"%s\"",
                 error->message);
        g_clear_error(&error);
    }
    if (store_get(store, acquisition->store_key, 0, 0, &value, &error)) {
        result = evaluate_stored(acquisition, &value);
        store_value_clear(&value);
    }
    g_clear_error(&error);
    return result;
}

static void
report_result(void *data, uint64_t now_ms)
{
    struct acquisition *acquisition = data;

    acquisition->done(acquisition->data, &acquisition->result, now_ms);
    g_free(acquisition->store_key);
    g_free(acquisition);
}

static void
run_acquisition(void *data)
{
    struct acquisition *acquisition = data;
    struct store *store = borrow_store(acquisition->claims);
    char *text = claim_encode(&acquisition->claim);

    acquisition->result.outcome = CLAIMS_STORE_DOWN;
    for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
        if (try_write(acquisition, store, text) == WRITE_DECIDED) {
            break;
        }
    }
    free(text);
    return_store(acquisition->claims, store);
    loop_post(acquisition->claims->loop, report_result, acquisition);
}

void
claims_acquire(struct claims *claims, const char *store_key,
               const struct claim *claim, uint64_t index,
               void (*done)(void *data, const struct claims_result *result,
                            uint64_t now_ms),
               void *data)
{
    struct acquisition *acquisition = g_new0(struct acquisition, 1);

    acquisition->claims = claims;
    acquisition->store_key = g_strdup(store_key);
    acquisition->claim = *claim;
    acquisition->index = index;
    acquisition->done = done;
    acquisition->data = data;
    worker_pool_submit(claims->workers, run_acquisition, acquisition);
}
