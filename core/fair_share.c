#include "core/fair_share.h"

#include <glib.h>

struct share {
    uint64_t next_ms;       /* start tag of the next work */
    uint64_t account_count; /* with work when the last tag was given */
};

struct fair_share {
    GHashTable *accounts; /* name to struct share */
};

struct fair_share *
fair_share_create(void)
{
    struct fair_share *fair = g_new0(struct fair_share, 1);

    fair->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return fair;
}

void
fair_share_destroy(struct fair_share *fair)
{
    if (fair == NULL) {
        return;
    }
    g_hash_table_destroy(fair->accounts);
    g_free(fair);
}

static gboolean
is_idle(gpointer key, gpointer value, gpointer data)
{
    const struct share *share = value;
    const uint64_t *now_ms = data;

    (void)key;
    return share->next_ms <= *now_ms;
}

uint64_t
fair_share_start_ms(struct fair_share *fair, const char *account,
                    uint64_t service_ms, uint64_t now_ms)
{
    struct share *share;
    uint64_t start_ms;

    g_hash_table_foreach_remove(fair->accounts, is_idle, &now_ms);
    share = g_hash_table_lookup(fair->accounts, account);
    if (share == NULL) {
        share = g_new0(struct share, 1);
        share->next_ms = now_ms;
        g_hash_table_insert(fair->accounts, g_strdup(account), share);
    }
    start_ms = MAX(share->next_ms, now_ms);
    /* With n accounts that have work, each gets 1/n of the endpoint. */
    share->account_count = g_hash_table_size(fair->accounts);
    share->next_ms = start_ms + service_ms * share->account_count;
    return start_ms;
}

void
fair_share_refund(struct fair_share *fair, const char *account,
                  uint64_t service_ms, uint64_t now_ms)
{
    struct share *share = g_hash_table_lookup(fair->accounts, account);
    uint64_t refund_ms;

    if (share == NULL) {
        return;
    }
    refund_ms = service_ms * share->account_count;
    share->next_ms = share->next_ms > now_ms + refund_ms
                         ? share->next_ms - refund_ms
                         : now_ms;
}
