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
    MAX_ROUNDS = 4
};

struct claims {
    struct loop *loop;
    struct worker_pool *workers;
    char *ip;
    uint16_t port;
    pthread_mutex_t lock;
    GQueue idle; /* struct store, by lock */
};

struct take {
    struct claims *claims;
    char *store_key;
    struct claim claim;
    uint64_t index;
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
    g_queue_init(&claims->idle);
    return claims;
}

static struct store *
borrow_store(struct claims *claims)
{
    struct store *store;

    pthread_mutex_lock(&claims->lock);
    store = g_queue_pop_tail(&claims->idle);
    pthread_mutex_unlock(&claims->lock);
    return store != NULL ? store : store_create(claims->ip, claims->port);
}

static void
return_store(struct claims *claims, struct store *store)
{
    pthread_mutex_lock(&claims->lock);
    g_queue_push_tail(&claims->idle, store);
    pthread_mutex_unlock(&claims->lock);
}

enum round {
    ROUND_DECIDED,
    ROUND_AGAIN
};

static enum round
judge_found(struct take *take, const struct store_value *value)
{
    struct claims_result *result = &take->result;

    if (value->bytes == NULL) {
        take->index = 0;
        return ROUND_AGAIN;
    }
    if (!claim_decode(value->bytes, value->count, &result->found)) {
        LOG_ERR("a claim can't be read", "key=%s", take->store_key);
        result->outcome = CLAIMS_STORE_DOWN;
        return ROUND_DECIDED;
    }
    result->index = value->index;
    switch (claim_compare(&take->claim, &result->found)) {
    case CLAIM_THIS_ATTEMPT:
        result->outcome = CLAIMS_TAKEN;
        return ROUND_DECIDED;
    case CLAIM_KEY_REUSED:
        result->outcome = CLAIMS_OTHER_CONTENT;
        return ROUND_DECIDED;
    case CLAIM_EARLIER_ATTEMPT:
        break;
    case CLAIM_OTHER_REQUEST:
        if (value->index != take->index) {
            result->outcome = CLAIMS_OF_OTHER;
            return ROUND_DECIDED;
        }
        /* Still the claim that we were told to take over. */
        break;
    }
    take->index = value->index;
    return ROUND_AGAIN;
}

/* One write, and a read unless it was clear. */
static enum round
try_round(struct take *take, struct store *store, const char *text)
{
    struct store_value value;
    GError *error = NULL;
    enum store_write_result written = store_put(
        store, take->store_key, text, strlen(text), take->index, &error);
    enum round round = ROUND_AGAIN;

    if (written == STORE_WRITTEN) {
        take->result.outcome = CLAIMS_TAKEN;
        return ROUND_DECIDED;
    }
    if (error != NULL) {
        LOG_WARN("a claim's write is not confirmed", "error=\"%s\"",
                 error->message);
        g_clear_error(&error);
    }
    if (store_get(store, take->store_key, 0, 0, &value, &error)) {
        round = judge_found(take, &value);
        store_value_clear(&value);
    }
    g_clear_error(&error);
    return round;
}

static void
report(void *data, uint64_t now_ms)
{
    struct take *take = data;

    take->done(take->data, &take->result, now_ms);
    g_free(take->store_key);
    g_free(take);
}

static void
run_take(void *data)
{
    struct take *take = data;
    struct store *store = borrow_store(take->claims);
    char *text = claim_encode(&take->claim);

    take->result.outcome = CLAIMS_STORE_DOWN;
    for (int i = 0; i < MAX_ROUNDS; i++) {
        if (try_round(take, store, text) == ROUND_DECIDED) {
            break;
        }
    }
    free(text);
    return_store(take->claims, store);
    loop_post(take->claims->loop, report, take);
}

void
claims_take(struct claims *claims, const char *store_key,
            const struct claim *claim, uint64_t index,
            void (*done)(void *data, const struct claims_result *result,
                         uint64_t now_ms),
            void *data)
{
    struct take *take = g_new0(struct take, 1);

    take->claims = claims;
    take->store_key = g_strdup(store_key);
    take->claim = *claim;
    take->index = index;
    take->done = done;
    take->data = data;
    worker_pool_submit(claims->workers, run_take, take);
}
