#include "core/memory_account.h"

#include <glib.h>

void
memory_account_init(struct memory_account *account, uint64_t total_tokens,
                    uint64_t keep_percent)
{
    account->total_tokens = total_tokens;
    account->kept_tokens = total_tokens / 100 * keep_percent;
    account->held_tokens = 0;
}

bool
memory_account_fits(const struct memory_account *account, uint64_t tokens,
                    bool is_short)
{
    uint64_t kept = is_short ? 0 : account->kept_tokens;
    uint64_t taken = account->held_tokens + tokens;

    /* On an idle engine the kept part holds nobody up. */
    if (account->held_tokens == 0) {
        return tokens <= account->total_tokens;
    }
    return taken + kept <= account->total_tokens;
}

bool
memory_account_possible(const struct memory_account *account, uint64_t tokens)
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
