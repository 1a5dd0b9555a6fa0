/* Tests the order of the store's revisions across eras, and what a copy may
   conclude at the beginning of an era, in virtual time. */

#include <glib.h>

#include "core/era_change.h"
#include "core/store_revision.h"

/* A revision that the store gives out again must not equal, or be below, the
   one that it stood for before. */
static void
test_order(void)
{
    uint64_t old = store_revision_make(1, 146);
    uint64_t again = store_revision_make(2, 95);

    g_assert_cmpuint(again, >, old);
    g_assert_cmpuint(store_revision_era(again), ==, 2);
    g_assert_cmpuint(store_revision_number(again), ==, 95);
    g_assert_false(store_revision_is_same_era(old, again));
    g_assert_cmpuint(store_revision_make(0, 95), ==, 95);
    g_assert_cmpuint(store_revision_make(1, 0), ==, 0);
    g_assert_cmpuint(store_revision_make(1, UINT64_C(1) << 40), ==, 0);
    g_assert_cmpuint(store_revision_make(UINT64_C(1) << 24, 1), ==, 0);
    g_assert_cmpstr(store_revision_text(again).text, ==, "2.95");
    g_assert_cmpstr(store_revision_text(95).text, ==, "95");
}

/* The first copy, and the first era that a store tells, are no return from an
   older copy: nothing may be delayed then. */
static void
test_begin(void)
{
    static const struct {
        uint64_t known_era, known, list_era, list;
        bool begins;
    } cases[] = {
        {0, 0, 2, 95, false},    {0, 146, 1, 150, false},
        {1, 146, 1, 150, false}, {2, 95, 1, 146, false},
        {1, 146, 2, 95, true},   {1, 146, 3, 150, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct era_change change = {0};

        g_assert_cmpint(
            era_change_begin(
                &change,
                store_revision_make(cases[i].known_era, cases[i].known),
                store_revision_make(cases[i].list_era, cases[i].list), 1000),
            ==, cases[i].begins);
        g_assert_cmpuint(change.count, ==, cases[i].begins ? 1 : 0);
        g_assert_cmpint(era_change_delays_removals(&change, 1000), ==,
                        cases[i].begins);
    }
}

/* Writers have 2.5 s to write again what the copy lacks; a registration of an
   endpoint that had left is removed after 4 s at most. */
static void
test_times(void)
{
    struct era_change change = {0};
    uint64_t list = store_revision_make(2, 95);

    g_assert_cmpuint(era_change_complete_ms(&change), ==, 0);
    era_change_begin(&change, store_revision_make(1, 146), list, 1000);
    g_assert_cmpuint(era_change_complete_ms(&change), ==, 3500);
    g_assert_true(era_change_delays_removals(&change, 3499));
    g_assert_false(era_change_delays_removals(&change, 3500));
    g_assert_true(era_change_is_restored(&change, list, 4999));
    g_assert_false(era_change_is_restored(&change, list, 5000));
    g_assert_false(era_change_is_restored(&change, list + 1, 4999));
    g_assert_true(
        era_change_is_restored(&change, store_revision_make(1, 20), 4999));
    g_assert_false(
        era_change_is_restored(&change, store_revision_make(1, 20), 5000));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/era-change/order", test_order);
    g_test_add_func("/era-change/begin", test_begin);
    g_test_add_func("/era-change/times", test_times);
    return g_test_run();
}
