/* The entry's decisions under frames in any order, repeated and dropped, from
   any node, with links that come and go and claims that end anyhow. Always:
   one result, by the time limit; a grant that can't be repeated is not
   followed by another unless the first was said not to have run; "not run" is
   told to the caller only if no grant is open; a complete answer is whole. */

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "core/binding.h"
#include "core/message.h"

enum {
    SEEDS = 400,
    STEPS = 400,
    NODES = 5,
    LIMIT_MS = 5000
};

static const uint8_t whole[] = "the whole answer";

struct world {
    GRand *rand;
    uint64_t now_ms;
    struct binding *binding;
    bool repeatable;
    uint32_t grants;
    uint32_t open_node;    /* of the last grant */
    uint32_t open_attempt; /* 0: no grant can be in progress */
    GByteArray *got;
    uint32_t results;
    struct binding_result result;
};

static size_t
op_candidates(void *context, uint32_t attempt, uint32_t *nodes, size_t max)
{
    struct world *world = context;
    size_t count = (size_t)g_rand_int_range(world->rand, 0, NODES + 1);

    (void)attempt;
    count = MIN(count, max);
    for (size_t i = 0; i < count; i++) {
        nodes[i] = (uint32_t)i;
    }
    return count;
}

static bool
op_reserve(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    struct world *world = context;

    (void)node;
    (void)attempt;
    g_assert_cmpuint(budget_ms, <=, LIMIT_MS);
    return g_rand_int_range(world->rand, 0, 10) > 0;
}

static void
op_withdraw(void *context, uint32_t node, uint32_t attempt)
{
    const struct world *world = context;

    /* A granted attempt is never withdrawn. */
    g_assert_false(world->open_attempt != 0 &&
                   world->open_attempt == attempt && world->open_node == node);
}

static void
op_claim(void *context, uint32_t node, uint32_t attempt)
{
    (void)context;
    (void)node;
    (void)attempt;
}

static void
op_grant(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    struct world *world = context;

    g_assert_cmpuint(budget_ms, <=, LIMIT_MS);
    if (!world->repeatable) {
        g_assert_cmpuint(world->open_attempt, ==, 0);
    }
    world->grants++;
    world->open_node = node;
    world->open_attempt = attempt;
}

static void
op_cancel(void *context, uint32_t node, uint32_t attempt)
{
    (void)context;
    (void)node;
    (void)attempt;
}

static void
op_resume(void *context, uint32_t node, uint32_t attempt, uint64_t offset)
{
    (void)context;
    (void)node;
    (void)attempt;
    (void)offset;
}

static bool
op_may_retry(void *context)
{
    struct world *world = context;

    return g_rand_boolean(world->rand);
}

static void
op_head(void *context, uint32_t status, const char *content_type)
{
    (void)context;
    (void)status;
    (void)content_type;
}

static void
op_data(void *context, const uint8_t *bytes, size_t count)
{
    struct world *world = context;

    g_byte_array_append(world->got, bytes, (guint)count);
}

static void
op_restart(void *context)
{
    struct world *world = context;

    g_byte_array_set_size(world->got, 0);
}

static void
op_finish(void *context, const struct binding_result *result)
{
    struct world *world = context;

    world->results++;
    world->result = *result;
    if (result->complete) {
        g_assert_cmpmem(world->got->data, world->got->len, whole,
                        sizeof(whole));
        g_assert_cmpint(result->outcome, ==, OUTCOME_RAN);
        return;
    }
    g_assert_cmpint(result->reason, !=, REASON_NONE);
    g_assert_cmpuint(result->retry_after_ms, >, 0);
    if (result->outcome == OUTCOME_NOT_RUN && !world->repeatable) {
        g_assert_cmpuint(world->open_attempt, ==, 0);
    }
}

static const struct binding_ops ops = {
    op_candidates, op_reserve,   op_withdraw, op_claim, op_grant,   op_cancel,
    op_resume,     op_may_retry, op_head,     op_data,  op_restart, op_finish};

static void
fill_answer(struct world *world, struct message *message)
{
    size_t start =
        (size_t)g_rand_int_range(world->rand, 0, (gint32)sizeof(whole));

    switch (message->type) {
    case MESSAGE_CHUNK:
        if (g_rand_boolean(world->rand)) {
            start = 0;
        }
        message->offset = start;
        message->data = whole + start;
        message->data_bytes = sizeof(whole) - start;
        break;
    case MESSAGE_END:
        message->offset = sizeof(whole);
        message->checksum = XXH64(whole, sizeof(whole), 0);
        if (g_rand_int_range(world->rand, 0, 3) == 0) {
            message->reason = REASON_ENDPOINT_FAILED;
            message->outcome = (uint32_t)g_rand_int_range(world->rand, 0, 3);
            message->retry_after_ms = 10;
        }
        break;
    case MESSAGE_REFUSE:
        message->reason =
            (uint32_t)g_rand_int_range(world->rand, 1, REASON_COUNT);
        break;
    default:
        break;
    }
}

static void
random_frame(struct world *world)
{
    static const enum message_type types[] = {
        MESSAGE_OFFER, MESSAGE_OFFER, MESSAGE_REFUSE, MESSAGE_HEAD,
        MESSAGE_CHUNK, MESSAGE_CHUNK, MESSAGE_END,    MESSAGE_ALIVE};
    uint32_t attempt = binding_attempt(world->binding);
    uint32_t node = (uint32_t)g_rand_int_range(world->rand, 0, NODES);
    struct message message = {
        .type = types[g_rand_int_range(world->rand, 0, G_N_ELEMENTS(types))],
        .attempt =
            (uint32_t)g_rand_int_range(world->rand, 0, (gint32)attempt + 2),
        .outcome = OUTCOME_RAN,
        .status = 200};
    uint64_t incarnation = g_rand_int_range(world->rand, 0, 8) == 0 ? 2 : 1;

    fill_answer(world, &message);
    /* What the agent with the grant says of it is true. */
    if (message.type == MESSAGE_END && message.outcome == OUTCOME_NOT_RUN &&
        incarnation == 1 && node == world->open_node &&
        message.attempt == world->open_attempt) {
        world->open_attempt = 0;
    }
    binding_message(world->binding, node, incarnation, &message,
                    world->now_ms);
}

/* The next frame that the bound agent sends if all goes well. */
static void
usual_frame(struct world *world)
{
    struct message message = {.outcome = OUTCOME_RAN, .status = 200};
    uint32_t node;
    size_t got = world->got->len;

    if (!binding_bound_node(world->binding, &node)) {
        return;
    }
    message.attempt = binding_bound_attempt(world->binding);
    message.type = MESSAGE_HEAD;
    binding_message(world->binding, node, 1, &message, world->now_ms);
    message.type = got < sizeof(whole) ? MESSAGE_CHUNK : MESSAGE_END;
    message.offset = got;
    message.data = whole + got;
    message.data_bytes = MIN(sizeof(whole) - got, 5);
    message.checksum = XXH64(whole, sizeof(whole), 0);
    binding_message(world->binding, node, 1, &message, world->now_ms);
}

static void
random_step(struct world *world)
{
    uint32_t node = (uint32_t)g_rand_int_range(world->rand, 0, NODES);

    switch (g_rand_int_range(world->rand, 0, 16)) {
    case 0:
        binding_link_down(world->binding, node, world->now_ms);
        break;
    case 1:
        binding_link_up(world->binding, node,
                        (uint64_t)g_rand_int_range(world->rand, 1, 3),
                        world->now_ms);
        break;
    case 2:
        binding_link_silent(world->binding, node, world->now_ms);
        break;
    case 3:
        binding_node_leaving(world->binding, node, world->now_ms);
        break;
    case 4:
        binding_claimed(world->binding, g_rand_boolean(world->rand),
                        REASON_STORE_DOWN, world->now_ms);
        break;
    case 5:
        binding_join_failed(world->binding);
        break;
    case 6:
    case 7:
        world->now_ms += (uint64_t)g_rand_int_range(world->rand, 0, 100);
        binding_timeout(world->binding, world->now_ms);
        break;
    case 8:
    case 9:
    case 10:
        usual_frame(world);
        break;
    default:
        random_frame(world);
        break;
    }
}

static bool
run_seed(uint32_t seed)
{
    static const struct binding_settings settings = {.first_candidates = 2,
                                                     .widen_step = 2,
                                                     .widen_ms = 20,
                                                     .max_candidates = NODES,
                                                     .resume_ms = 500,
                                                     .max_attempts = 4};
    struct world world = {.rand = g_rand_new_with_seed(seed),
                          .now_ms = 1000,
                          .got = g_byte_array_new()};
    struct binding_request request = {.time_limit_ms = LIMIT_MS};
    bool complete;

    request.repeatable = world.repeatable = g_rand_boolean(world.rand);
    request.streamed = g_rand_boolean(world.rand);
    request.keyed = !request.repeatable && g_rand_boolean(world.rand);
    world.binding = binding_create(&settings, &request, &ops, &world);
    binding_start(world.binding, world.now_ms);
    for (int i = 0; i < STEPS; i++) {
        random_step(&world);
    }
    world.now_ms = 1000 + LIMIT_MS;
    binding_timeout(world.binding, world.now_ms);
    g_assert_cmpuint(world.results, ==, 1);
    complete = world.result.complete;
    binding_destroy(world.binding);
    g_byte_array_unref(world.got);
    g_rand_free(world.rand);
    return complete;
}

static void
test_random(void)
{
    uint32_t complete = 0;

    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        g_test_message("seed %u", seed);
        complete += run_seed(seed);
    }
    /* Some do get through. */
    g_assert_cmpuint(complete, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/binding/random", test_random);
    return g_test_run();
}
