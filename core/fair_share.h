#ifndef CORE_FAIR_SHARE_H
#define CORE_FAIR_SHARE_H

#include <stdint.h>

/* Start-time fair queueing between client accounts: each account's work gets
   a start tag, which lies in the future by what the account has waiting
   beyond its share. */

struct fair_share;

struct fair_share *fair_share_create(void);
void fair_share_destroy(struct fair_share *share);

/* Start tag of an account's new work of a duration; moves the account's next
   tag behind it. */
uint64_t fair_share_start_ms(struct fair_share *fair, const char *account,
                             uint64_t service_ms, uint64_t now_ms);

/* Work that will not run here after all gives its share back. */
void fair_share_return(struct fair_share *fair, const char *account,
                       uint64_t service_ms, uint64_t now_ms);

#endif
