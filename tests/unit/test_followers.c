/* Which gateways follow the store for all. */

#include <glib.h>
#include <string.h>

#include "core/followers.h"

enum {
    MOST = 430,
    OLD_MS = 2000,
    /* Twice the mean of 430 x 4 / 53. */
    MOST_ASKING = 65,
};

static char names[MOST][16];
static const char *gateways[MOST];

static void
name_gateways(void)
{
    for (size_t i = 0; i < MOST; i++) {
        g_snprintf(names[i], sizeof(names[i]), "10.0.%zu.%zu:80", i / 200,
                   i % 200);
        gateways[i] = names[i];
    }
}

static size_t
index_of(const char *name)
{
    for (size_t i = 0; i < MOST; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    g_assert_not_reached();
}

static size_t
count_followers(size_t count)
{
    size_t followers = 0;

    for (size_t i = 0; i < count; i++) {
        followers += followers_should_follow(
            followers_rank(gateways[i], gateways, count), count, 0);
    }
    return followers;
}

static void
test_few_follow(void)
{
    g_assert_cmpuint(count_followers(1), ==, 1);
    g_assert_cmpuint(count_followers(4), ==, 4);
    g_assert_cmpuint(count_followers(23), ==, 4);
    g_assert_cmpuint(count_followers(100), ==, 12);
    g_assert_cmpuint(count_followers(MOST), ==, 53);
}

/* Everybody asks a few, all of them followers, never itself; no follower is
   asked by many. */
static void
test_asked(void)
{
    size_t asked[MOST] = {0};

    for (size_t i = 0; i < MOST; i++) {
        GPtrArray *own = followers_to_ask(gateways[i], gateways, MOST);

        g_assert_cmpuint(own->len, ==, 4);
        for (guint j = 0; j < own->len; j++) {
            const char *name = g_ptr_array_index(own, j);

            g_assert_cmpstr(name, !=, gateways[i]);
            g_assert_cmpuint(followers_rank(name, gateways, MOST), <,
                             followers_count(MOST));
            asked[index_of(name)]++;
        }
        g_ptr_array_free(own, TRUE);
    }
    for (size_t j = 0; j < MOST; j++) {
        g_assert_cmpuint(asked[j], <=, MOST_ASKING);
    }
}

/* Without news in time everybody follows, the first ones first. */
static void
test_no_news(void)
{
    uint32_t first = followers_count(100);

    g_assert_false(followers_should_follow(first, 100, 1000));
    g_assert_true(followers_should_follow(first, 100, 1400));
    g_assert_false(followers_should_follow(99, 100, 1400));
    g_assert_true(followers_should_follow(99, 100, OLD_MS));
    g_assert_true(followers_should_follow(99, 100, UINT64_MAX));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    name_gateways();
    g_test_add_func("/followers/few", test_few_follow);
    g_test_add_func("/followers/asked", test_asked);
    g_test_add_func("/followers/no-news", test_no_news);
    return g_test_run();
}
