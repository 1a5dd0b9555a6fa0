/* Tests the decisions about how much each connection may hold. */

#include <glib.h>

#include "core/buffer_budget.h"

enum {
    MB = 1000 * 1000,
    MAX_BYTES = 80 * MB, /* of a machine of 160 MB */
    MAX_BODY_BYTES = MAX_BYTES / 4,
    MAX_RESPONSE_BYTES = MAX_BYTES - MAX_BODY_BYTES,
    READ_BYTES = 32 * 1024,
    MAX_ACCOUNTS = 4096,
    BODY_BYTES = 4 * MB,
};

struct fixture {
    struct buffer_budget *budget;
    struct buffer_account *accounts[MAX_ACCOUNTS];
    uint64_t held[MAX_ACCOUNTS];
    uint32_t count;
};

static struct fixture *
create_fixture(uint64_t max_bytes, uint32_t count)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    fixture->budget = buffer_budget_create(max_bytes);
    fixture->count = count;
    for (uint32_t i = 0; i < count; i++) {
        fixture->accounts[i] =
            buffer_account_create(fixture->budget, &fixture->held[i]);
    }
    return fixture;
}

static void
destroy_fixture(struct fixture *fixture)
{
    for (uint32_t i = 0; i < fixture->count; i++) {
        buffer_account_destroy(fixture->accounts[i]);
    }
    g_assert_cmpuint(buffer_budget_body_bytes(fixture->budget), ==, 0);
    g_assert_cmpuint(buffer_budget_response_bytes(fixture->budget), ==, 0);
    buffer_budget_destroy(fixture->budget);
    g_free(fixture);
}

/* One read of each response that may be read. Returns whether there was one.
 */
static bool
read_responses(struct fixture *fixture)
{
    bool any = false;

    for (uint32_t i = 0; i < fixture->count; i++) {
        if (!buffer_account_is_full(fixture->accounts[i])) {
            fixture->held[i] += READ_BYTES;
            buffer_account_set_response(fixture->accounts[i], fixture->held[i],
                                        0);
            any = true;
        }
    }
    return any;
}

/* The kernel's memory counts from the time at which a connection is behind:
   what was measured later used to come on top of a budget that was used up. */
static void
test_kernel(void)
{
    struct fixture *fixture = create_fixture(MAX_BYTES, 1);
    struct buffer_account *account = fixture->accounts[0];

    buffer_account_set_response(account, 1, 0);
    g_assert_cmpuint(buffer_budget_kernel_bytes(fixture->budget), >, 0);
    buffer_account_set_kernel(account, 5);
    buffer_account_set_response(account, 2, 0);
    g_assert_cmpuint(buffer_budget_response_bytes(fixture->budget), ==, 7);
    buffer_account_set_response(account, 0, 0);
    g_assert_cmpuint(buffer_budget_response_bytes(fixture->budget), ==, 0);
    destroy_fixture(fixture);
}

/* Readers that take nothing while their endpoints send all they can: the sum
   stays within their part, however many they are, and a connection that comes
   later is not full. */
static void
test_stalled_readers(void)
{
    static const uint32_t counts[] = {1, 16, 128, 512};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        struct fixture *fixture = create_fixture(MAX_BYTES, counts[i]);
        struct buffer_account *other;

        while (read_responses(fixture)) {
        }
        g_assert_cmpuint(buffer_budget_response_bytes(fixture->budget), <=,
                         MAX_RESPONSE_BYTES);
        other = buffer_account_create(fixture->budget, NULL);
        buffer_account_set_response(other, 4096, 0);
        g_assert_false(buffer_account_is_full(other));
        buffer_account_destroy(other);
        destroy_fixture(fixture);
    }
}

/* The connection that holds most is limited, one that holds little is not. */
static void
test_largest_first(void)
{
    struct fixture *fixture = create_fixture(MAX_BYTES, 2);

    buffer_account_set_response(fixture->accounts[0], 70000, 0);
    buffer_account_set_response(fixture->accounts[1], 8000, 0);
    g_assert_false(buffer_account_is_full(fixture->accounts[0]));
    buffer_budget_set_shared(fixture->budget, MAX_RESPONSE_BYTES * 3 / 4);
    g_assert_true(buffer_account_is_full(fixture->accounts[0]));
    g_assert_false(buffer_account_is_full(fixture->accounts[1]));
    buffer_budget_set_shared(fixture->budget, 0);
    destroy_fixture(fixture);
}

/* Without a bound for all, each connection still has its own. */
static void
test_no_bound(void)
{
    struct fixture *fixture = create_fixture(0, MAX_ACCOUNTS);

    for (uint32_t i = 0; i < fixture->count; i++) {
        buffer_account_set_response(fixture->accounts[i],
                                    BUFFER_MAX_RESPONSE_BYTES, 0);
        g_assert_false(buffer_account_is_full(fixture->accounts[i]));
        g_assert_true(
            buffer_account_reserve_body(fixture->accounts[i], BODY_BYTES, 0));
    }
    buffer_account_set_response(fixture->accounts[0],
                                BUFFER_MAX_RESPONSE_BYTES + 1, 0);
    g_assert_true(buffer_account_is_full(fixture->accounts[0]));
    g_assert_null(buffer_budget_excess(fixture->budget, G_MAXUINT32));
    destroy_fixture(fixture);
}

/* Large bodies are refused when their part is taken, small ones never; a body
   that has ended makes room. Responses take no room from bodies. */
static void
test_bodies(void)
{
    struct fixture *fixture = create_fixture(MAX_BYTES, 512);
    uint32_t accepted = 0;

    buffer_account_set_response(fixture->accounts[0], MAX_BYTES, 0);
    for (uint32_t i = 0; i < fixture->count; i++) {
        if (buffer_account_reserve_body(fixture->accounts[i], BODY_BYTES, 0)) {
            accepted++;
        }
    }
    g_assert_cmpuint(accepted, ==, MAX_BODY_BYTES / BODY_BYTES);
    g_assert_true(buffer_account_reserve_body(fixture->accounts[100],
                                              BUFFER_SMALL_BODY_BYTES, 0));
    g_assert_true(buffer_account_reserve_body(fixture->accounts[100], 0, 0));
    g_assert_false(buffer_account_reserve_body(
        fixture->accounts[100], BUFFER_SMALL_BODY_BYTES + 1, 0));
    g_assert_true(buffer_account_reserve_body(fixture->accounts[0], 0, 0));
    g_assert_true(
        buffer_account_reserve_body(fixture->accounts[100], BODY_BYTES, 0));
    destroy_fixture(fixture);
}

/* Bodies that are announced and never sent must not keep others out: the one
   furthest behind is given up, and none that has arrived. */
static void
test_slow_bodies(void)
{
    struct fixture *fixture = create_fixture(MAX_BYTES, 4);

    for (uint32_t i = 0; i < fixture->count; i++) {
        g_assert_true(buffer_account_reserve_body(fixture->accounts[i],
                                                  BODY_BYTES, 1000));
    }
    buffer_account_set_received(fixture->accounts[0], BODY_BYTES, true);
    buffer_account_set_received(fixture->accounts[1], 100, false);
    buffer_account_set_received(fixture->accounts[2], 50, false);
    buffer_account_set_received(fixture->accounts[3], BODY_BYTES / 2, false);
    g_assert_null(buffer_budget_slowest_body(fixture->budget, 2999));
    g_assert_true(buffer_budget_slowest_body(fixture->budget, 3000) ==
                  fixture->accounts[2]);
    buffer_account_reserve_body(fixture->accounts[2], 0, 3000);
    buffer_account_reserve_body(fixture->accounts[1], 0, 3000);
    g_assert_null(buffer_budget_slowest_body(fixture->budget, 3000));
    destroy_fixture(fixture);
}

/* More connections than the shares have room for: of those that have been
   behind for a while, peers that take nothing and then those that hold most
   are ended, until the sum is within their part. */
static void
test_excess(void)
{
    struct fixture *fixture = create_fixture(MAX_BYTES, 1000);
    uint32_t ended = 0;
    struct buffer_account *excess;

    for (uint32_t i = 0; i < fixture->count; i++) {
        buffer_account_set_response(fixture->accounts[i], 60000 + i,
                                    i < 900 ? 0 : 5000);
    }
    buffer_account_set_pause(fixture->accounts[7], 5000);
    buffer_account_set_pause(fixture->accounts[8], 4999);
    g_assert_null(buffer_budget_excess(fixture->budget, 1999));
    while ((excess = buffer_budget_excess(fixture->budget, 2000)) != NULL) {
        if (ended < 2) {
            g_assert_true(buffer_account_owner(excess) ==
                          &fixture->held[ended == 0 ? 7 : 899]);
        }
        buffer_account_set_response(excess, 0, 2000);
        ended++;
    }
    g_assert_cmpuint(ended, >, 0);
    g_assert_cmpuint(ended, <, 600);
    destroy_fixture(fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/buffer-budget/stalled-readers", test_stalled_readers);
    g_test_add_func("/buffer-budget/kernel", test_kernel);
    g_test_add_func("/buffer-budget/largest-first", test_largest_first);
    g_test_add_func("/buffer-budget/no-bound", test_no_bound);
    g_test_add_func("/buffer-budget/bodies", test_bodies);
    g_test_add_func("/buffer-budget/slow-bodies", test_slow_bodies);
    g_test_add_func("/buffer-budget/excess", test_excess);
    return g_test_run();
}
