#include "core/memory_account.h"

#include <glib.h>

void
memory_account_init(struct memory_account *account, uint64_t total_tokens,
                    uint64_t headroom_percent)
{
    account->total_tokens = total_tokens;
    account->headroom_tokens = total_tokens / 100 * headroom_percent;
    account->held_tokens = 0;
}

bool
memory_account_fits(const struct memory_account *account, uint64_t tokens,
                    bool is_short)
{
    uint64_t headroom = is_short ? 0 : account->headroom_tokens;
    uint64_t taken = account->held_tokens + tokens;

    /* On an idle engine a long prompt may use the headroom as well: nothing
       else holds memory, and the longest prompts would never fit otherwise. */
    if (account->held_tokens == 0) {
        return tokens <= account->total_tokens;
    }
    return taken + headroom <= account->total_tokens;
}

bool
memory_account_fits_idle(const struct memory_account *account, uint64_t tokens)
{
    return tokens <= account->total_tokens;
}

void
memory_account_hold(struct memory_account *account, uint64_t tokens)
{
    account->held_tokens += tokens;
}

void
memory_account_release(struct memory_account *account, uint64_t tokens)
{
    g_assert(tokens <= account->held_tokens);
    account->held_tokens -= tokens;
}
