#include "core/buffer_budget.h"

#include <glib.h>

enum {
    /* Part of the budget for bodies. They are rarer than slow readers, whose
       number is not bounded. */
    BODY_DIVISOR = 4,
    /* Part of what is free for responses that one connection may hold. With
       256 those that came first held so much that 512 slow readers exceeded
       60 MB, the budget for responses of a machine of 160 MB. */
    SHARE_DIVISOR = 512,
    /* A connection that holds no more is never full: a few events of a stream,
       which a quick reader takes at once. */
    MIN_RESPONSE_BYTES = 8 * 1024,
    /* Most that arrives at once, before a connection is found to be full. */
    READ_BYTES = 32 * 1024,
    /* What the kernel is taken to hold for a connection that is behind, until
       that is measured: a little more than was measured for 512 slow readers
       on a machine of 160 MB (45 to 57 KB each). */
    ASSUMED_KERNEL_BYTES = 64 * 1024,
    /* Least mean rate at which a large body arrives while others need its
       room, and the time before that counts. 512 kbit/s is a fortieth of a
       small machine's link. */
    MIN_BODY_BYTES_PER_S = 64 * 1024,
    BODY_GRACE_MS = 2000,
    /* How long a connection has had something queued before it is ended for
       its excess. */
    MIN_BEHIND_MS = 2000,
    /* A pause after which a peer counts as one that takes nothing: callers
       that read steadily acknowledge something within a second or two. */
    MIN_PAUSE_MS = 5000,
    MS_PER_S = 1000,
};

struct buffer_budget {
    uint64_t max_body_bytes;     /* of all together; 0: no bound */
    uint64_t max_response_bytes; /* the same */
    uint64_t body_bytes;
    uint64_t response_bytes; /* with the kernel's and the shared ones */
    uint64_t kernel_bytes;   /* of these, the kernel's */
    uint64_t shared_bytes;
    GHashTable *accounts; /* struct buffer_account, as a set */
};

struct buffer_account {
    struct buffer_budget *budget;
    void *owner;
    uint64_t reserved_bytes; /* of the body; 0: none */
    uint64_t received_bytes;
    uint64_t body_started_ms;
    bool body_complete;
    uint64_t response_bytes;
    uint64_t kernel_bytes;
    uint64_t behind_since_ms; /* while response_bytes is not 0 */
    uint64_t pause_ms;        /* for which the peer has taken nothing */
};

struct buffer_budget *
buffer_budget_create(uint64_t max_bytes)
{
    struct buffer_budget *budget = g_new0(struct buffer_budget, 1);

    budget->max_body_bytes = max_bytes / BODY_DIVISOR;
    budget->max_response_bytes = max_bytes - budget->max_body_bytes;
    budget->accounts = g_hash_table_new(NULL, NULL);
    return budget;
}

void
buffer_budget_destroy(struct buffer_budget *budget)
{
    if (budget == NULL) {
        return;
    }
    g_assert(g_hash_table_size(budget->accounts) == 0);
    g_hash_table_destroy(budget->accounts);
    g_free(budget);
}

bool
buffer_budget_is_bounded(const struct buffer_budget *budget)
{
    return budget->max_response_bytes > 0;
}

uint64_t
buffer_budget_body_bytes(const struct buffer_budget *budget)
{
    return budget->body_bytes;
}

uint64_t
buffer_budget_response_bytes(const struct buffer_budget *budget)
{
    return budget->response_bytes;
}

uint64_t
buffer_budget_kernel_bytes(const struct buffer_budget *budget)
{
    return budget->kernel_bytes;
}

uint64_t
buffer_budget_response_limit(const struct buffer_budget *budget)
{
    uint64_t max = budget->max_response_bytes;
    uint64_t share;

    if (max == 0) {
        return BUFFER_MAX_RESPONSE_BYTES;
    }
    share = (max - MIN(max, budget->response_bytes)) / SHARE_DIVISOR;
    share = MIN(share, (uint64_t)BUFFER_MAX_RESPONSE_BYTES);
    share -= MIN(share, (uint64_t)READ_BYTES);
    return MAX(share, (uint64_t)MIN_RESPONSE_BYTES);
}

void
buffer_budget_set_shared(struct buffer_budget *budget, uint64_t bytes)
{
    budget->response_bytes += bytes;
    budget->response_bytes -= budget->shared_bytes;
    budget->shared_bytes = bytes;
}

struct buffer_account *
buffer_account_create(struct buffer_budget *budget, void *owner)
{
    struct buffer_account *account = g_new0(struct buffer_account, 1);

    account->budget = budget;
    account->owner = owner;
    g_hash_table_add(budget->accounts, account);
    return account;
}

static uint64_t
held_response(const struct buffer_account *account)
{
    return account->response_bytes + account->kernel_bytes;
}

void
buffer_account_destroy(struct buffer_account *account)
{
    if (account == NULL) {
        return;
    }
    account->budget->body_bytes -= account->reserved_bytes;
    account->budget->response_bytes -= held_response(account);
    account->budget->kernel_bytes -= account->kernel_bytes;
    g_hash_table_remove(account->budget->accounts, account);
    g_free(account);
}

void *
buffer_account_owner(const struct buffer_account *account)
{
    return account->owner;
}

bool
buffer_account_reserve_body(struct buffer_account *account, uint64_t bytes,
                            uint64_t now_ms)
{
    struct buffer_budget *budget = account->budget;
    uint64_t others = budget->body_bytes - account->reserved_bytes;

    if (budget->max_body_bytes > 0 && bytes > BUFFER_SMALL_BODY_BYTES &&
        others + bytes > budget->max_body_bytes) {
        return false;
    }
    if (account->reserved_bytes == 0) {
        account->body_started_ms = now_ms;
        account->received_bytes = 0;
        account->body_complete = false;
    }
    budget->body_bytes = others + bytes;
    account->reserved_bytes = bytes;
    return true;
}

void
buffer_account_set_received(struct buffer_account *account, uint64_t bytes,
                            bool complete)
{
    account->received_bytes = bytes;
    account->body_complete = complete;
}

/* Bytes by which a body that others may displace is behind the least rate. */
static uint64_t
body_shortfall(const struct buffer_account *account, uint64_t now_ms)
{
    uint64_t elapsed_ms = now_ms - account->body_started_ms;
    uint64_t due = elapsed_ms * MIN_BODY_BYTES_PER_S / MS_PER_S;

    if (account->reserved_bytes <= BUFFER_SMALL_BODY_BYTES ||
        account->body_complete || elapsed_ms < BODY_GRACE_MS) {
        return 0;
    }
    return due - MIN(due, account->received_bytes);
}

struct buffer_account *
buffer_budget_slowest_body(const struct buffer_budget *budget, uint64_t now_ms)
{
    struct buffer_account *slowest = NULL;
    uint64_t most = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, budget->accounts);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        uint64_t shortfall = body_shortfall(value, now_ms);

        if (shortfall > most) {
            most = shortfall;
            slowest = value;
        }
    }
    return slowest;
}

void
buffer_account_set_response(struct buffer_account *account, uint64_t bytes,
                            uint64_t now_ms)
{
    if (account->response_bytes == 0 && bytes > 0) {
        account->behind_since_ms = now_ms;
        if (buffer_budget_is_bounded(account->budget)) {
            buffer_account_set_kernel(account, ASSUMED_KERNEL_BYTES);
        }
    }
    else if (bytes == 0) {
        buffer_account_set_kernel(account, 0);
    }
    account->budget->response_bytes += bytes;
    account->budget->response_bytes -= account->response_bytes;
    account->response_bytes = bytes;
}

void
buffer_account_set_kernel(struct buffer_account *account, uint64_t bytes)
{
    account->budget->response_bytes += bytes;
    account->budget->response_bytes -= account->kernel_bytes;
    account->budget->kernel_bytes += bytes;
    account->budget->kernel_bytes -= account->kernel_bytes;
    account->kernel_bytes = bytes;
}

void
buffer_account_set_pause(struct buffer_account *account, uint64_t pause_ms)
{
    account->pause_ms = pause_ms;
}

bool
buffer_account_is_full(const struct buffer_account *account)
{
    return account->response_bytes >
           buffer_budget_response_limit(account->budget);
}

static bool
ends_before(const struct buffer_account *account,
            const struct buffer_account *other)
{
    bool paused = account->pause_ms >= MIN_PAUSE_MS;

    if (other == NULL || paused != (other->pause_ms >= MIN_PAUSE_MS)) {
        return other == NULL || paused;
    }
    return held_response(account) > held_response(other);
}

struct buffer_account *
buffer_budget_excess(const struct buffer_budget *budget, uint64_t now_ms)
{
    struct buffer_account *first = NULL;
    GHashTableIter iter;
    gpointer value;

    if (budget->max_response_bytes == 0 ||
        budget->response_bytes <= budget->max_response_bytes) {
        return NULL;
    }
    g_hash_table_iter_init(&iter, budget->accounts);
    while (g_hash_table_iter_next(&iter, &value, NULL)) {
        struct buffer_account *account = value;

        if (account->response_bytes > 0 &&
            now_ms >= account->behind_since_ms + MIN_BEHIND_MS &&
            ends_before(account, first)) {
            first = account;
        }
    }
    return first;
}
