/* The agent's decisions under frames in any order, repeated and dropped, links
   that go down, engines that fail, and time that passes. After each step:
   an attempt starts at most once; what was said not to have run never starts
   later; memory held equals what was started or offered. At the end nothing is
   held. Seeds are fixed; a failing one is printed. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "core/config.h"
#include "core/dispatch.h"
#include "core/message.h"

/* Frames speak of the newest request and a few before it. */
enum {
    NEW_REQUEST_STEPS = 24,
    RECENT = 3,
    RECORD_MS = 4000
};

enum {
    SEEDS = 200,
    STEPS = 1500,
    REQUESTS = 64,
    LINKS = 2,
    MAX_ATTEMPT = 2
};

struct fate {
    uint32_t starts;
    uint32_t frames; /* of the usual order that were sent */
    bool said_not_run;
    uint64_t said_ms;
};

struct world {
    GRand *rand;
    uint64_t now_ms;
    struct dispatch *dispatch;
    GPtrArray *running; /* struct work started and not reported finished */
    struct fate fates[REQUESTS][MAX_ATTEMPT + 1];
    uint64_t starts;
    int step;
};

static void
on_send(void *context, uint64_t link, const struct message *message)
{
    struct world *world = context;
    struct fate *fate = &world->fates[message->id.counter][message->attempt];

    g_assert_cmpuint(link, >, 0);
    if (message->type == MESSAGE_END && message->outcome == OUTCOME_NOT_RUN) {
        g_assert_cmpuint(fate->starts, ==, 0);
        fate->said_not_run = true;
        fate->said_ms = world->now_ms;
    }
}

static void
on_start(void *context, struct work *work)
{
    struct world *world = context;
    struct fate *fate =
        &world->fates[work_id(work).counter][work_attempt(work)];
    size_t bytes;

    (void)work_body(work, &bytes);
    g_assert_cmpuint(bytes, ==, 4);
    g_assert_false(fate->said_not_run);
    g_assert_cmpuint(fate->starts, ==, 0);
    fate->starts++;
    world->starts++;
    g_ptr_array_add(world->running, work);
}

static void
on_stop(void *context, struct work *work)
{
    (void)context;
    (void)work;
}

static void
on_confirmed(void *context, struct work *work, uint64_t offset)
{
    (void)context;
    (void)work;
    (void)offset;
}

static uint64_t
on_cached(void *context, const struct message *reserve)
{
    struct world *world = context;

    (void)reserve;
    return (uint64_t)g_rand_int_range(world->rand, 0, 50);
}

static void
random_frame(struct world *world)
{
    static const enum message_type types[] = {
        MESSAGE_RESERVE, MESSAGE_RESERVE, MESSAGE_RESERVE, MESSAGE_GRANT,
        MESSAGE_GRANT,   MESSAGE_GRANT,   MESSAGE_BODY,    MESSAGE_BODY,
        MESSAGE_BODY,    MESSAGE_CANCEL,  MESSAGE_RESUME,  MESSAGE_WITHDRAW,
        MESSAGE_CREDIT,  MESSAGE_OFFER,   MESSAGE_END};
    static const enum message_type usual[] = {MESSAGE_RESERVE, MESSAGE_GRANT,
                                              MESSAGE_BODY};
    static const uint8_t body[] = "body";
    int newest = world->step / NEW_REQUEST_STEPS;
    int back = g_rand_int_range(world->rand, 0, RECENT);
    struct fate *fate;
    struct message message = {
        .type = types[g_rand_int_range(world->rand, 0, G_N_ELEMENTS(types))],
        .attempt = (uint32_t)g_rand_int_range(world->rand, 1, MAX_ATTEMPT + 1),
        .pool = "pool",
        .account = "account",
        .generation = 1,
        .prompt_tokens = (uint64_t)g_rand_int_range(world->rand, 1, 600),
        .max_tokens = 10,
        .budget_ms = (uint32_t)g_rand_int_range(world->rand, 1, 20000),
        .body_bytes = 4,
        .offset = g_rand_boolean(world->rand) ? 0 : 4,
        .data = body,
        .data_bytes = 4};

    message.id.incarnation = 7;
    message.id.counter = (uint64_t)MAX(newest - back, 0);
    fate = &world->fates[message.id.counter][message.attempt];
    if (g_rand_int_range(world->rand, 0, 10) < 7) {
        message.type = usual[MIN(fate->frames, 2)];
        fate->frames++;
        message.offset = 0;
    }
    /* The same request is always of the same kind. */
    message.repeatable = message.id.counter % 2 == 0;
    if (message.type != MESSAGE_BODY && message.type != MESSAGE_CREDIT) {
        message.offset = 0;
    }
    /* An entry sends each reservation once, before anything else of its
       attempt; late ones come out of an old link's buffer, never after the
       record's time. */
    if (message.type == MESSAGE_RESERVE && fate->said_not_run &&
        world->now_ms >= fate->said_ms + RECORD_MS) {
        return;
    }
    /* Mostly over the link that the request belongs to. */
    dispatch_message(world->dispatch,
                     g_rand_int_range(world->rand, 0, 10) == 0
                         ? 1
                         : message.id.counter % LINKS + 1,
                     &message, world->now_ms);
}

static void
engine_event(struct world *world)
{
    static const uint8_t bytes[] = "token";
    struct work *work;
    guint index;

    if (world->running->len == 0) {
        return;
    }
    index =
        (guint)g_rand_int_range(world->rand, 0, (gint32)world->running->len);
    work = g_ptr_array_index(world->running, index);
    if (g_rand_boolean(world->rand)) {
        dispatch_head(world->dispatch, work, 200, "text/plain");
        dispatch_data(world->dispatch, work, bytes, sizeof(bytes),
                      world->now_ms);
        return;
    }
    g_ptr_array_remove_index(world->running, index);
    dispatch_finished(world->dispatch, work, OUTCOME_RAN,
                      g_rand_boolean(world->rand) ? REASON_NONE
                                                  : REASON_ENDPOINT_FAILED,
                      world->now_ms);
}

static void
random_step(struct world *world)
{
    switch (g_rand_int_range(world->rand, 0, 20)) {
    case 0:
        dispatch_link_down(
            world->dispatch,
            (uint64_t)g_rand_int_range(world->rand, 1, LINKS + 1),
            world->now_ms);
        break;
    case 1:
        dispatch_set_healthy(world->dispatch, g_rand_boolean(world->rand),
                             world->now_ms);
        break;
    case 2:
    case 3:
        world->now_ms += (uint64_t)g_rand_int_range(
            world->rand, 0, g_rand_int_range(world->rand, 1, 3000));
        dispatch_timeout(world->dispatch, world->now_ms);
        break;
    case 4:
    case 5:
    case 6:
        engine_event(world);
        break;
    default:
        random_frame(world);
        break;
    }
    g_assert_cmpuint(dispatch_held_tokens(world->dispatch), <=, 1000);
}

static void
settle(struct world *world)
{
    while (world->running->len > 0) {
        struct work *work =
            g_ptr_array_remove_index(world->running, world->running->len - 1);

        dispatch_finished(world->dispatch, work, OUTCOME_RAN, REASON_NONE,
                          world->now_ms);
    }
    for (uint64_t link = 1; link <= LINKS; link++) {
        dispatch_link_down(world->dispatch, link, world->now_ms);
    }
    g_assert_cmpuint(dispatch_held_tokens(world->dispatch), ==, 0);
    g_assert_cmpuint(dispatch_active(world->dispatch), ==, 0);
    g_assert_cmpuint(dispatch_queued(world->dispatch), ==, 0);
    g_assert_true(dispatch_idle(world->dispatch, world->now_ms));
}

static uint64_t
run_seed(uint32_t seed)
{
    static const struct dispatch_ops ops = {on_send, on_start, on_stop,
                                            on_confirmed, on_cached};
    static const struct dispatch_settings settings = {.offer_window_ms = 1000,
                                                      .lease_ms = 5000,
                                                      .record_ms = RECORD_MS,
                                                      .prefill_window_ms = 100,
                                                      .max_queue = 8,
                                                      .max_body_bytes = 100};
    static char name[] = "pool";
    const struct pool pool = {.name = name,
                              .work_class = WORK_PROMPT,
                              .streams = 4,
                              .memory_tokens = 1000,
                              .prefill_rate = 1000,
                              .short_tokens = 100,
                              .short_keep_percent = 10};
    struct world world = {.rand = g_rand_new_with_seed(seed), .now_ms = 1};

    world.running = g_ptr_array_new();
    world.dispatch = dispatch_create(&settings, &ops, &world);
    dispatch_set_pool(world.dispatch, &pool, 1, world.now_ms);
    for (int i = 0; i < STEPS; i++) {
        world.step = i;
        random_step(&world);
    }
    settle(&world);
    dispatch_destroy(world.dispatch);
    g_ptr_array_free(world.running, TRUE);
    g_rand_free(world.rand);
    return world.starts;
}

static void
test_random(void)
{
    uint64_t starts = 0;

    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        g_test_message("seed %u", seed);
        starts += run_seed(seed);
    }
    /* The frames do get work started. */
    g_assert_cmpuint(starts, >, SEEDS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/dispatch/random", test_random);
    return g_test_run();
}
