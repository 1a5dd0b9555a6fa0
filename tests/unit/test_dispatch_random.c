/* Runs a dispatch with random input in virtual time: frames that are
   reordered, repeated or dropped, links that are lost, and engines that fail.
   Checks that an attempt starts at most once, that an attempt reported as not
   run never starts later, and that the memory held stays within the engine's.
   At the end no memory is held. Seeds are fixed; a failing one is printed. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "core/config.h"
#include "core/dispatch.h"
#include "core/message.h"

enum {
    SEEDS = 1000,
    STEPS = 1500,
    /* A new request begins after so many steps. Frames are for the newest
       RECENT_REQUESTS requests. */
    STEPS_PER_REQUEST = 24,
    RECENT_REQUESTS = 3,
    REQUESTS = 64, /* more than STEPS / STEPS_PER_REQUEST */
    LINKS = 2,
    MAX_ATTEMPT = 2,
    RECORD_MS = 4000, /* the dispatch keeps a record of ended work so long */
    MEMORY_TOKENS = 1000 /* of the engine */
};

struct attempt_state {
    uint32_t starts;
    uint32_t regular_frames; /* sent in the order reserve, grant, body */
    bool reported_not_run;
    uint64_t reported_ms;
};

struct fixture {
    GRand *rand;
    uint64_t now_ms;
    struct dispatch *dispatch;
    GPtrArray *running; /* struct work, started and not finished */
    struct attempt_state attempts[REQUESTS][MAX_ATTEMPT + 1];
    uint64_t starts;
    int step;
};

static void
on_send(void *context, uint64_t link, const struct message *message)
{
    struct fixture *fixture = context;
    struct attempt_state *state =
        &fixture->attempts[message->id.counter][message->attempt];

    g_assert_cmpuint(link, >, 0);
    if (message->type == MESSAGE_END && message->outcome == OUTCOME_NOT_RUN) {
        g_assert_cmpuint(state->starts, ==, 0);
        state->reported_not_run = true;
        state->reported_ms = fixture->now_ms;
    }
}

static void
on_start(void *context, struct work *work)
{
    struct fixture *fixture = context;
    struct attempt_state *state =
        &fixture->attempts[work_id(work).counter][work_attempt(work)];
    size_t bytes;

    (void)work_body(work, &bytes);
    g_assert_cmpuint(bytes, ==, 4);
    g_assert_false(state->reported_not_run);
    g_assert_cmpuint(state->starts, ==, 0);
    state->starts++;
    fixture->starts++;
    g_ptr_array_add(fixture->running, work);
}

static void
on_stop(void *context, struct work *work)
{
    (void)context;
    (void)work;
}

static void
on_consumed(void *context, struct work *work, uint64_t offset)
{
    (void)context;
    (void)work;
    (void)offset;
}

static uint64_t
on_cached(void *context, const struct message *reserve)
{
    struct fixture *fixture = context;

    (void)reserve;
    return (uint64_t)g_rand_int_range(fixture->rand, 0, 50);
}

static void
deliver_random_frame(struct fixture *fixture)
{
    static const enum message_type types[] = {
        MESSAGE_RESERVE, MESSAGE_RESERVE, MESSAGE_RESERVE, MESSAGE_GRANT,
        MESSAGE_GRANT,   MESSAGE_GRANT,   MESSAGE_BODY,    MESSAGE_BODY,
        MESSAGE_BODY,    MESSAGE_CANCEL,  MESSAGE_RESUME,  MESSAGE_WITHDRAW,
        MESSAGE_CREDIT,  MESSAGE_OFFER,   MESSAGE_END};
    static const enum message_type regular[] = {MESSAGE_RESERVE, MESSAGE_GRANT,
                                                MESSAGE_BODY};
    static const uint8_t body[] = "body";
    int newest = fixture->step / STEPS_PER_REQUEST;
    int age = g_rand_int_range(fixture->rand, 0, RECENT_REQUESTS);
    struct attempt_state *state;
    struct message message = {
        .type = types[g_rand_int_range(fixture->rand, 0, G_N_ELEMENTS(types))],
        .attempt =
            (uint32_t)g_rand_int_range(fixture->rand, 1, MAX_ATTEMPT + 1),
        .pool = "pool",
        .account = "account",
        .generation = 1,
        .prompt_tokens = (uint64_t)g_rand_int_range(fixture->rand, 1, 600),
        .max_tokens = 10,
        .budget_ms = (uint32_t)g_rand_int_range(fixture->rand, 1, 20000),
        .body_bytes = 4,
        .offset = g_rand_boolean(fixture->rand) ? 0 : 4,
        .data = body,
        .data_bytes = 4};

    message.id.incarnation = 7;
    message.id.counter = (uint64_t)MAX(newest - age, 0);
    state = &fixture->attempts[message.id.counter][message.attempt];
    if (g_rand_int_range(fixture->rand, 0, 10) < 7) {
        message.type = regular[MIN(state->regular_frames, 2)];
        state->regular_frames++;
        message.offset = 0;
    }
    /* All frames of a request agree on this. */
    message.repeatable = message.id.counter % 2 == 0;
    if (message.type != MESSAGE_BODY && message.type != MESSAGE_CREDIT) {
        message.offset = 0;
    }
    /* An entry sends each reservation once, as the first frame of its attempt.
       A late one was buffered on an old link and arrives before the record of
       the attempt expires. */
    if (message.type == MESSAGE_RESERVE && state->reported_not_run &&
        fixture->now_ms >= state->reported_ms + RECORD_MS) {
        return;
    }
    /* Most frames arrive on the link of the request's entry. */
    dispatch_message(fixture->dispatch,
                     g_rand_int_range(fixture->rand, 0, 10) == 0
                         ? 1
                         : message.id.counter % LINKS + 1,
                     &message, fixture->now_ms);
}

static void
random_engine_event(struct fixture *fixture)
{
    static const uint8_t bytes[] = "token";
    struct work *work;
    guint index;

    if (fixture->running->len == 0) {
        return;
    }
    index = (guint)g_rand_int_range(fixture->rand, 0,
                                    (gint32)fixture->running->len);
    work = g_ptr_array_index(fixture->running, index);
    if (g_rand_boolean(fixture->rand)) {
        dispatch_head(fixture->dispatch, work, 200, "text/plain");
        dispatch_data(fixture->dispatch, work, bytes, sizeof(bytes),
                      fixture->now_ms);
        return;
    }
    g_ptr_array_remove_index(fixture->running, index);
    dispatch_finished(fixture->dispatch, work, OUTCOME_RAN,
                      g_rand_boolean(fixture->rand) ? REASON_NONE
                                                    : REASON_ENDPOINT_FAILED,
                      fixture->now_ms);
}

static void
random_step(struct fixture *fixture)
{
    switch (g_rand_int_range(fixture->rand, 0, 20)) {
    case 0:
        dispatch_link_down(
            fixture->dispatch,
            (uint64_t)g_rand_int_range(fixture->rand, 1, LINKS + 1),
            fixture->now_ms);
        break;
    case 1:
        dispatch_set_healthy(fixture->dispatch, g_rand_boolean(fixture->rand),
                             fixture->now_ms);
        break;
    case 2:
    case 3:
        fixture->now_ms += (uint64_t)g_rand_int_range(
            fixture->rand, 0, g_rand_int_range(fixture->rand, 1, 3000));
        dispatch_timeout(fixture->dispatch, fixture->now_ms);
        break;
    case 4:
    case 5:
    case 6:
        random_engine_event(fixture);
        break;
    default:
        deliver_random_frame(fixture);
        break;
    }
    g_assert_cmpuint(dispatch_held_tokens(fixture->dispatch), <=,
                     MEMORY_TOKENS);
}

static void
finish_all(struct fixture *fixture)
{
    while (fixture->running->len > 0) {
        struct work *work = g_ptr_array_remove_index(
            fixture->running, fixture->running->len - 1);

        dispatch_finished(fixture->dispatch, work, OUTCOME_RAN, REASON_NONE,
                          fixture->now_ms);
    }
    for (uint64_t link = 1; link <= LINKS; link++) {
        dispatch_link_down(fixture->dispatch, link, fixture->now_ms);
    }
    g_assert_cmpuint(dispatch_held_tokens(fixture->dispatch), ==, 0);
    g_assert_cmpuint(dispatch_active(fixture->dispatch), ==, 0);
    g_assert_cmpuint(dispatch_queued(fixture->dispatch), ==, 0);
    g_assert_true(dispatch_idle(fixture->dispatch, fixture->now_ms));
}

static uint64_t
run_seed(uint32_t seed)
{
    static const struct dispatch_ops ops = {on_send, on_start, on_stop,
                                            on_consumed, on_cached};
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
                              .memory_tokens = MEMORY_TOKENS,
                              .prefill_rate = 1000,
                              .short_tokens = 100,
                              .short_keep_percent = 10};
    struct fixture fixture = {.rand = g_rand_new_with_seed(seed), .now_ms = 1};

    fixture.running = g_ptr_array_new();
    fixture.dispatch = dispatch_create(&settings, &ops, &fixture);
    dispatch_set_pool(fixture.dispatch, &pool, 1, fixture.now_ms);
    for (int i = 0; i < STEPS; i++) {
        fixture.step = i;
        random_step(&fixture);
    }
    finish_all(&fixture);
    dispatch_destroy(fixture.dispatch);
    g_ptr_array_free(fixture.running, TRUE);
    g_rand_free(fixture.rand);
    return fixture.starts;
}

static void
test_random(void)
{
    uint64_t starts = 0;

    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        g_test_message("seed %u", seed);
        starts += run_seed(seed);
    }
    /* Enough work must start, or the run checks too little. */
    g_assert_cmpuint(starts, >, SEEDS);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/dispatch/random", test_random);
    return g_test_run();
}
