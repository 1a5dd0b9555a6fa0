#ifndef CORE_MEMORY_ACCOUNT_H
#define CORE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

/* Account of one engine's KV memory, in tokens. Part of it is kept for short
   prompts: long ones can't take the last of it. */

struct memory_account {
    uint64_t total_tokens;
    uint64_t kept_tokens; /* free memory that long prompts leave */
    uint64_t held_tokens;
};

/* keep_percent: 0 to 90. */
void memory_account_init(struct memory_account *account, uint64_t total_tokens,
                         uint64_t keep_percent);

bool memory_account_fits(const struct memory_account *account, uint64_t tokens,
                         bool is_short);

/* Whether it could ever fit on an idle engine. */
bool memory_account_possible(const struct memory_account *account,
                             uint64_t tokens);

void memory_account_hold(struct memory_account *account, uint64_t tokens);

/* Releasing more than is held breaks an invariant and aborts. */
void memory_account_release(struct memory_account *account, uint64_t tokens);

#endif
