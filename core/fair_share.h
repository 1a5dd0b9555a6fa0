#ifndef CORE_FAIR_SHARE_H
#define CORE_FAIR_SHARE_H

#include <stdint.h>

/* Start-time fair queueing between client accounts. Work gets a start tag, a
   time in milliseconds; work with lower tags goes first. An account that asks
   for more than its share gets tags further in the future. */

struct fair_share;

struct fair_share *fair_share_create(void);
void fair_share_destroy(struct fair_share *fair);

/* Returns the start tag of an account's new work, now_ms or later, and moves
   the account's next tag past that work. service_ms is the work's duration. */
uint64_t fair_share_start_ms(struct fair_share *fair, const char *account,
                             uint64_t service_ms, uint64_t now_ms);

/* Takes back what fair_share_start_ms() charged, for work of the same
   service_ms that will not run here. */
void fair_share_refund(struct fair_share *fair, const char *account,
                       uint64_t service_ms, uint64_t now_ms);

#endif
