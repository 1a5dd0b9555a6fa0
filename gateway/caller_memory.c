#include "gateway/caller_memory.h"

#include <glib.h>

#include "core/buffer_budget.h"
#include "gateway/caller_state.h"
#include "gateway/gateway_counters.h"
#include "io/http_connection.h"
#include "io/loop.h"

void
caller_memory_count(struct caller *caller)
{
    if (caller->account != NULL) {
        buffer_account_set_response(
            caller->account,
            http_connection_held_bytes(caller->connection) +
                caller->kept_bytes,
            loop_now_ms(caller->callers->loop));
    }
}

bool
caller_memory_reserve(struct caller *caller, uint64_t bytes)
{
    return caller->account == NULL ||
           buffer_account_reserve_body(caller->account, bytes,
                                       loop_now_ms(caller->callers->loop));
}

void
caller_give_up(struct caller *caller, const char *why)
{
    caller->callers->handlers.give_up(caller->exchange, why);
}

bool
caller_memory_take_body(struct caller *caller, uint64_t bytes)
{
    struct buffer_account *slowest;

    while (!caller_memory_reserve(caller, bytes)) {
        slowest = buffer_budget_slowest_body(
            caller->callers->budget, loop_now_ms(caller->callers->loop));
        gateway_counters_count(COUNT_BODIES_REFUSED);
        if (slowest == NULL || slowest == caller->account) {
            caller_give_up(caller, "no memory for the body");
            return false;
        }
        caller_give_up(buffer_account_owner(slowest), "the body is too slow");
    }
    return true;
}

bool
caller_memory_grow_body(struct caller *caller, size_t body_bytes)
{
    uint64_t max_bytes = caller->callers->limits.max_body_bytes;

    if (body_bytes <= caller->reserved_bytes) {
        return true;
    }
    caller->reserved_bytes =
        MIN(max_bytes, MAX(2 * body_bytes, BUFFER_SMALL_BODY_BYTES));
    return caller_memory_take_body(caller, caller->reserved_bytes);
}

static size_t
kernel_bytes(const struct caller *caller)
{
    size_t bytes = http_connection_kernel_bytes(caller->connection);

    if (caller->exchange != NULL) {
        bytes += caller->callers->handlers.kernel_bytes(caller->exchange);
    }
    return bytes;
}

bool
caller_memory_count_kernel(struct caller *caller)
{
    bool behind = http_connection_queued_bytes(caller->connection) > 0;

    caller_memory_count(caller);
    if (!buffer_budget_is_bounded(caller->callers->budget)) {
        return behind;
    }
    buffer_account_set_pause(caller->account,
                             http_connection_pause_ms(caller->connection));
    if (behind) {
        buffer_account_set_kernel(caller->account, kernel_bytes(caller));
    }
    return behind;
}
