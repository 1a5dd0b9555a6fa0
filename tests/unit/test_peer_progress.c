/* Tests when a peer that does not take what is sent to it is given up. */

#include <glib.h>

#include "core/peer_progress.h"

enum {
    SILENCE_MS = 5000,
    STALL_MS = 15000,
    RATE = 1024,
    SEGMENT = 2 * RATE,
    STEP_MS = 100,
    PROBE_MS = 200, /* the first one; each takes twice as long */
    END_MS = 120 * 1000,
    NEVER_MS = 2 * END_MS,
};

static const struct peer_limits limits = {SILENCE_MS, STALL_MS, RATE};

/* A peer whose window is closed but for every period_ms, and that answers
   probes until answers_until_ms. */
struct peer {
    const char *name;
    uint64_t period_ms; /* 0: takes nothing */
    uint64_t answers_until_ms;
    bool in_flight; /* packets are on their way, instead of probes */
    bool uncounted; /* the system does not count the time since answers */
    uint32_t segment_bytes;
    enum peer_state expected;
    uint64_t from_ms; /* when the expected state is first seen */
    uint64_t until_ms;
};

static enum peer_state
play(const struct peer *peer, uint64_t *end_ms)
{
    struct peer_progress progress = {0};
    enum peer_state state = PEER_TAKING;
    struct peer_sample sample = {.outstanding_bytes = 1000,
                                 .segment_bytes = peer->segment_bytes};
    uint64_t answered_ms = 0;
    uint64_t pause_ms = PROBE_MS;
    uint64_t probe_ms = PROBE_MS;
    uint64_t lost = 0;
    uint64_t now_ms = 0;

    for (; now_ms <= END_MS && state == PEER_TAKING; now_ms += STEP_MS) {
        bool alive = now_ms < peer->answers_until_ms;

        if (alive && peer->period_ms > 0 && now_ms % peer->period_ms == 0) {
            sample.acknowledged_bytes += 1000;
            answered_ms = now_ms;
            pause_ms = PROBE_MS;
            probe_ms = now_ms + pause_ms;
        }
        if (now_ms >= probe_ms) {
            answered_ms = alive ? now_ms : answered_ms;
            lost += alive ? 0 : 1;
            pause_ms *= 2;
            probe_ms = now_ms + pause_ms;
        }
        sample.unanswered = peer->in_flight || lost > 1;
        sample.answered_ago_ms =
            peer->uncounted ? 0 : (uint32_t)(now_ms - answered_ms);
        state = peer_progress_update(&progress, &limits, &sample, now_ms);
    }
    *end_ms = now_ms - STEP_MS;
    return state;
}

/* A peer that takes some now and then used to be reset when its window stayed
   smaller than a segment; one whose machine is gone must be noticed early. */
static void
test_peers(void)
{
    static const struct peer peers[] = {
        {"pauses of 6 s", 6000, NEVER_MS, false, false, 0, PEER_TAKING, 0, 0},
        {"takes nothing, answers probes", 0, NEVER_MS, false, false, 0,
         PEER_STALLED, STALL_MS, STALL_MS},
        {"the same, with steps of a segment", 0, NEVER_MS, false, false,
         SEGMENT, PEER_STALLED, STALL_MS + 2000, STALL_MS + 2000},
        {"pauses beyond the limit", STALL_MS + 1000, NEVER_MS, false, false, 0,
         PEER_STALLED, STALL_MS, STALL_MS},
        {"the same pauses, for a segment", STALL_MS + 1000, NEVER_MS, false,
         false, SEGMENT, PEER_TAKING, 0, 0},
        {"gone while packets are on their way", 1000, 10000, true, false, 0,
         PEER_SILENT, 9000 + SILENCE_MS, 10000 + SILENCE_MS},
        {"the same, time not counted", 1000, 10000, true, true, 0, PEER_SILENT,
         9000 + SILENCE_MS, 10000 + SILENCE_MS},
        {"takes some, time not counted", 1000, NEVER_MS, true, true, 0,
         PEER_TAKING, 0, 0},
        {"gone behind a closed window", 1000, 10000, false, false, 0,
         PEER_SILENT, 9000 + SILENCE_MS, 9000 + STALL_MS},
    };

    for (gsize i = 0; i < G_N_ELEMENTS(peers); i++) {
        uint64_t end_ms = 0;
        enum peer_state state = play(&peers[i], &end_ms);

        g_test_message("%s: state %d at %lu ms", peers[i].name, (int)state,
                       (unsigned long)end_ms);
        g_assert_cmpint(state, ==, peers[i].expected);
        if (peers[i].expected != PEER_TAKING) {
            g_assert_cmpuint(end_ms, >=, peers[i].from_ms);
            g_assert_cmpuint(end_ms, <=, peers[i].until_ms);
        }
    }
}

/* Samples each STEP_MS until the state changes. Returns the time. */
static uint64_t
run_until_given_up(struct peer_progress *progress,
                   const struct peer_sample *sample, uint64_t now_ms)
{
    while (peer_progress_update(progress, &limits, sample, now_ms) ==
           PEER_TAKING) {
        now_ms += STEP_MS;
    }
    return now_ms;
}

/* What is sent after a pause starts anew: neither the time since the last
   progress nor that since the last answer counts for it. Nor does time in
   which this process stood still. */
static void
test_after_a_pause(void)
{
    struct peer_progress progress = {0};
    struct peer_sample sample = {.acknowledged_bytes = 1};

    g_assert_cmpint(peer_progress_update(&progress, &limits, &sample, 0), ==,
                    PEER_TAKEN);
    sample.outstanding_bytes = 1;
    sample.unanswered = true;
    sample.answered_ago_ms = END_MS;
    g_assert_cmpint(peer_progress_update(&progress, &limits, &sample, END_MS),
                    ==, PEER_TAKING);
    g_assert_cmpuint(peer_progress_pause_ms(&progress, END_MS + 7), ==, 7);
    g_assert_cmpuint(run_until_given_up(&progress, &sample, END_MS), ==,
                     END_MS + SILENCE_MS);

    progress = (struct peer_progress){0};
    sample.acknowledged_bytes = 0;
    peer_progress_begin(&progress, STEP_MS);
    g_assert_cmpuint(run_until_given_up(&progress, &sample, END_MS), ==,
                     END_MS + SILENCE_MS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-progress/peers", test_peers);
    g_test_add_func("/peer-progress/after-a-pause", test_after_a_pause);
    return g_test_run();
}
