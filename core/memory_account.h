#ifndef CORE_MEMORY_ACCOUNT_H
#define CORE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

/* Accounting of one engine's KV memory, in tokens. Long prompts must leave a
   headroom free, which only short prompts may use. On an idle engine a long
   prompt may use it too. */

struct memory_account {
    uint64_t total_tokens;
    uint64_t headroom_tokens; /* free memory that long prompts must leave */
    uint64_t held_tokens;
};

/* headroom_percent is the headroom, 0 to 90 percent of total_tokens. */
void memory_account_init(struct memory_account *account, uint64_t total_tokens,
                         uint64_t headroom_percent);

/* Whether a prompt of so many tokens fits now. */
bool memory_account_fits(const struct memory_account *account, uint64_t tokens,
                         bool is_short);

/* Whether a prompt of so many tokens fits on an idle engine. */
bool memory_account_fits_idle(const struct memory_account *account,
                              uint64_t tokens);

/* Does not check that the tokens fit. */
void memory_account_hold(struct memory_account *account, uint64_t tokens);

/* Aborts if more tokens are released than are held. */
void memory_account_release(struct memory_account *account, uint64_t tokens);

#endif
