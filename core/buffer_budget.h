#ifndef CORE_BUFFER_BUDGET_H
#define CORE_BUFFER_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Decides how much a process may hold for each of its connections, given what
   it holds for all. A quarter of the budget is for bodies of requests, the
   rest for responses that are not yet taken, so that callers who read slowly
   never take room from those who send, and the reverse.

   Responses: a connection is full when it holds more than a small share of the
   part of the budget for responses that is free now. The more is held, the
   smaller the share, so that those who hold most are limited first, and some
   of that part is always free. The owner reads nothing more for a full
   connection until all that is queued for it was taken. A quick reader takes
   it at once, and so is never held up.

   Bodies: a large one needs room for all of it before it is read. Small ones
   always have room. One that arrives slowly may have to make room for others.

   Not thread-safe. */

struct buffer_budget;
struct buffer_account;

enum {
    /* A body up to this size always has room: a prompt of 16,000 tokens. */
    BUFFER_SMALL_BODY_BYTES = 64 * 1024,
    /* Most that a connection holds of a response, however much is free. */
    BUFFER_MAX_RESPONSE_BYTES = 256 * 1024,
};

/* max_bytes 0: there is no bound for all connections together. */
struct buffer_budget *buffer_budget_create(uint64_t max_bytes);
/* All accounts must have been destroyed before. */
void buffer_budget_destroy(struct buffer_budget *budget);

/* Whether there is a bound for all connections together. */
bool buffer_budget_is_bounded(const struct buffer_budget *budget);

/* Bytes held for bodies, including what large ones still wait for; for
   responses, including the kernel's memory and what is shared; and that memory
   alone. */
uint64_t buffer_budget_body_bytes(const struct buffer_budget *budget);
uint64_t buffer_budget_response_bytes(const struct buffer_budget *budget);
uint64_t buffer_budget_kernel_bytes(const struct buffer_budget *budget);

/* What a connection may hold of a response now before it is full, without what
   the kernel holds. */
uint64_t buffer_budget_response_limit(const struct buffer_budget *budget);

/* Sets what is held for no single connection, such as frames for other
   gateways; it counts with the responses. */
void buffer_budget_set_shared(struct buffer_budget *budget, uint64_t bytes);

/* The account of one connection. owner is for the caller of the functions
   below that return accounts. */
struct buffer_account *buffer_account_create(struct buffer_budget *budget,
                                             void *owner);
/* Gives back all that it holds. NULL is allowed. */
void buffer_account_destroy(struct buffer_account *account);
void *buffer_account_owner(const struct buffer_account *account);

/* Reserves room for the connection's body, in place of what was reserved
   before; the first reservation begins the body. Returns false, and changes
   nothing, if there is none. 0 ends the body. */
bool buffer_account_reserve_body(struct buffer_account *account,
                                 uint64_t bytes, uint64_t now_ms);
/* Sets how much of the body has arrived. */
void buffer_account_set_received(struct buffer_account *account,
                                 uint64_t bytes, bool complete);

/* Returns the body furthest behind the rate at which a large body has to
   arrive, to be given up in favour of another one; NULL if there is none. */
struct buffer_account *
buffer_budget_slowest_body(const struct buffer_budget *budget,
                           uint64_t now_ms);

/* Sets what is held of the connection's response: bytes that are queued or
   kept in this process, and memory of the kernel for its sockets. That memory
   counts only while there are such bytes, and is assumed until it is set. */
void buffer_account_set_response(struct buffer_account *account,
                                 uint64_t bytes, uint64_t now_ms);
void buffer_account_set_kernel(struct buffer_account *account, uint64_t bytes);

/* Sets how long the peer has taken nothing of what it has to take. */
void buffer_account_set_pause(struct buffer_account *account,
                              uint64_t pause_ms);

/* Whether nothing more should be read for the connection now. */
bool buffer_account_is_full(const struct buffer_account *account);

/* If more is held for responses than their part, returns the connection to be
   ended, among those that have been behind for a while; NULL if there is none.
   Those whose peers take nothing come first, since they are the least likely
   to get their response at all; then those that hold most, so that as few as
   possible lose theirs. */
struct buffer_account *buffer_budget_excess(const struct buffer_budget *budget,
                                            uint64_t now_ms);

#endif
