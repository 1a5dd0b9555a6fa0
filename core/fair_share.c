#include "core/fair_share.h"

#include <glib.h>

struct share {
    uint64_t next_ms;
    uint64_t spread; /* factor in force when the last work was added */
};

struct fair_share {
    GHashTable *accounts; /* name to struct share */
};

struct fair_share *
fair_share_create(void)
{
    struct fair_share *share = g_new0(struct fair_share, 1);

    share->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return share;
}

void
fair_share_destroy(struct fair_share *share)
{
    if (share == NULL) {
        return;
    }
    g_hash_table_destroy(share->accounts);
    g_free(share);
}

static gboolean
is_past(gpointer key, gpointer value, gpointer data)
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

    g_hash_table_foreach_remove(fair->accounts, is_past, &now_ms);
    share = g_hash_table_lookup(fair->accounts, account);
    if (share == NULL) {
        share = g_new0(struct share, 1);
        share->next_ms = now_ms;
        g_hash_table_insert(fair->accounts, g_strdup(account), share);
    }
    start_ms = MAX(share->next_ms, now_ms);
    /* With n accounts waiting, each may use an n-th of the endpoint. */
    share->spread = g_hash_table_size(fair->accounts);
    share->next_ms = start_ms + service_ms * share->spread;
    return start_ms;
}

void
fair_share_return(struct fair_share *fair, const char *account,
                  uint64_t service_ms, uint64_t now_ms)
{
    struct share *share = g_hash_table_lookup(fair->accounts, account);
    uint64_t back_ms;

    if (share == NULL) {
        return;
    }
    back_ms = service_ms * share->spread;
    share->next_ms =
        share->next_ms > now_ms + back_ms ? share->next_ms - back_ms : now_ms;
}
