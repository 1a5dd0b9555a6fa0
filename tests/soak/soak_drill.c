#include "tests/soak/soak_drill.h"

#include <glib.h>
#include <stdio.h>

#include "tests/soak/soak_operator.h"

enum {
    MIN_AWAY_MS = 50,
    MAX_AWAY_MS = 900,
    MAX_AGE_MS = 6000,
    MAX_REWRITE_PAUSE_MS = 250, /* eight items within SOAK_DRILL_REWRITE_MS */
    MAX_ITEMS = 64,             /* exceeds the number of items */
    MAX_ROW = 2,
};

static struct {
    GRand *random;
    uint32_t min_age_ms; /* of the copies */
    uint32_t remaining;  /* drills, with this one */
    uint64_t returns_ms; /* 0: the store is back */
    uint64_t change_ms;  /* of the operator's own change; 0: none is due */
    uint64_t write_ms;   /* of the next item */
    uint64_t end_ms;     /* by which all has been written again */
    bool hurried;
} drill;

static uint32_t
draw(uint32_t from, uint32_t to)
{
    return (uint32_t)g_rand_int_range(drill.random, (gint32)from, (gint32)to);
}

static void
go_away(uint64_t now_ms)
{
    soak_operator_control_store("down?on=1");
    drill.returns_ms = now_ms + draw(MIN_AWAY_MS, MAX_AWAY_MS);
}

void
soak_drill_begin(uint32_t seed, uint32_t min_age_ms, uint64_t now_ms)
{
    if (drill.random == NULL) {
        drill.random = g_rand_new();
    }
    g_rand_set_seed(drill.random, seed);
    drill.min_age_ms = min_age_ms;
    drill.hurried = false;
    drill.remaining = draw(1, MAX_ROW + 1);
    go_away(now_ms);
}

static void
come_back(uint64_t now_ms)
{
    uint32_t age_ms = draw(drill.min_age_ms, MAX_AGE_MS);
    bool late = draw(0, 2) == 0;

    if (!soak_operator_drill(age_ms) ||
        !soak_operator_control_store("down?on=0")) {
        return;
    }
    printf("# %lu the store comes back from a copy %u ms old\n",
           (unsigned long)now_ms, age_ms);
    drill.returns_ms = 0;
    if (drill.hurried) {
        return;
    }
    drill.end_ms = now_ms + SOAK_DRILL_REWRITE_MS;
    drill.write_ms = now_ms + (late ? draw(0, SOAK_DRILL_REWRITE_MS) : 0);
    drill.change_ms =
        draw(0, 2) == 0 ? now_ms + draw(1, SOAK_DRILL_REWRITE_MS) : 0;
}

static void
change_config(void)
{
    if (draw(0, 2) == 0) {
        soak_operator_replace_key();
    }
    else {
        soak_operator_add_route();
    }
}

/* Writes the next item, or all of them at the end of the time for that.
   Returns whether any may remain. */
static bool
write_lost(uint64_t now_ms)
{
    uint32_t first = draw(0, MAX_ITEMS);
    bool remain = soak_operator_write_lost(first);

    while (remain && now_ms >= drill.end_ms) {
        remain = soak_operator_write_lost(first);
    }
    drill.write_ms = now_ms + draw(0, MAX_REWRITE_PAUSE_MS);
    return remain;
}

/* Whether another drill of the row begins, at times before all that was lost
   in the last one has been written again. */
static bool
begins_again(bool all_written)
{
    if (drill.remaining < 2 || (!all_written && draw(0, 4) != 0)) {
        return false;
    }
    drill.remaining--;
    return true;
}

bool
soak_drill_tick(uint64_t now_ms)
{
    bool remain = true;

    if (drill.returns_ms != 0) {
        if (now_ms >= drill.returns_ms) {
            come_back(now_ms);
        }
        return true;
    }
    if (drill.change_ms != 0 && now_ms >= drill.change_ms) {
        change_config();
        drill.change_ms = 0;
    }
    if (now_ms >= drill.write_ms) {
        remain = write_lost(now_ms);
        if (begins_again(!remain)) {
            go_away(now_ms);
            return true;
        }
    }
    return remain || drill.change_ms != 0;
}

void
soak_drill_hurry(uint64_t now_ms)
{
    drill.hurried = true;
    drill.remaining = 1;
    drill.change_ms = 0;
    drill.write_ms = now_ms;
    drill.end_ms = now_ms;
    drill.returns_ms = MIN(drill.returns_ms, now_ms);
}
