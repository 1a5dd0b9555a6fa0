/* Runs a binding with random input: frames that are reordered, repeated or
   dropped, from any node, links that are lost and restored, and claims with
   any result. Checks that the binding reports exactly one result, by the time
   limit, and that a complete answer has all its bytes. If the request is not
   repeatable, a second grant is sent only after the agent reported the first
   as not run, and the result is OUTCOME_NOT_RUN only if no granted attempt can
   be running. */

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "core/binding.h"
#include "core/message.h"

enum {
    SEEDS = 400,
    STEPS = 400,
    NODES = 5,
    TIME_LIMIT_MS = 5000
};

static const uint8_t answer[] = "the whole answer";

struct fixture {
    GRand *rand;
    uint64_t now_ms;
    struct binding *binding;
    bool repeatable;
    uint32_t grants;
    uint32_t granted_node;
    uint32_t granted_attempt; /* 0: no granted attempt can be running */
    GByteArray *received;
    uint32_t result_count;
    struct binding_result result;
};

static size_t
op_candidates(void *context, uint32_t attempt, uint32_t *nodes, size_t max)
{
    struct fixture *fixture = context;
    size_t count = (size_t)g_rand_int_range(fixture->rand, 0, NODES + 1);

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
    struct fixture *fixture = context;

    (void)node;
    (void)attempt;
    g_assert_cmpuint(budget_ms, <=, TIME_LIMIT_MS);
    return g_rand_int_range(fixture->rand, 0, 10) > 0;
}

static void
op_withdraw(void *context, uint32_t node, uint32_t attempt)
{
    const struct fixture *fixture = context;

    /* A granted attempt must be cancelled, not withdrawn. */
    g_assert_false(fixture->granted_attempt != 0 &&
                   fixture->granted_attempt == attempt &&
                   fixture->granted_node == node);
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
    struct fixture *fixture = context;

    g_assert_cmpuint(budget_ms, <=, TIME_LIMIT_MS);
    if (!fixture->repeatable) {
        g_assert_cmpuint(fixture->granted_attempt, ==, 0);
    }
    fixture->grants++;
    fixture->granted_node = node;
    fixture->granted_attempt = attempt;
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
    struct fixture *fixture = context;

    return g_rand_boolean(fixture->rand);
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
    struct fixture *fixture = context;

    g_byte_array_append(fixture->received, bytes, (guint)count);
}

static void
op_restart(void *context)
{
    struct fixture *fixture = context;

    g_byte_array_set_size(fixture->received, 0);
}

static void
op_finish(void *context, const struct binding_result *result)
{
    struct fixture *fixture = context;

    fixture->result_count++;
    fixture->result = *result;
    if (result->complete) {
        g_assert_cmpmem(fixture->received->data, fixture->received->len,
                        answer, sizeof(answer));
        g_assert_cmpint(result->outcome, ==, OUTCOME_RAN);
        return;
    }
    g_assert_cmpint(result->reason, !=, REASON_NONE);
    g_assert_cmpuint(result->retry_after_ms, >, 0);
    if (result->outcome == OUTCOME_NOT_RUN && !fixture->repeatable) {
        g_assert_cmpuint(fixture->granted_attempt, ==, 0);
    }
}

static const struct binding_ops ops = {
    op_candidates, op_reserve,   op_withdraw, op_claim, op_grant,   op_cancel,
    op_resume,     op_may_retry, op_head,     op_data,  op_restart, op_finish};

static void
fill_message(struct fixture *fixture, struct message *message)
{
    size_t start =
        (size_t)g_rand_int_range(fixture->rand, 0, (gint32)sizeof(answer));

    switch (message->type) {
    case MESSAGE_CHUNK:
        if (g_rand_boolean(fixture->rand)) {
            start = 0;
        }
        message->offset = start;
        message->data = answer + start;
        message->data_bytes = sizeof(answer) - start;
        break;
    case MESSAGE_END:
        message->offset = sizeof(answer);
        message->checksum = XXH64(answer, sizeof(answer), 0);
        if (g_rand_int_range(fixture->rand, 0, 3) == 0) {
            message->reason = REASON_ENDPOINT_FAILED;
            message->outcome = (uint32_t)g_rand_int_range(fixture->rand, 0, 3);
            message->retry_after_ms = 10;
        }
        break;
    case MESSAGE_REFUSE:
        message->reason =
            (uint32_t)g_rand_int_range(fixture->rand, 1, REASON_COUNT);
        break;
    default:
        break;
    }
}

static void
deliver_random_frame(struct fixture *fixture)
{
    static const enum message_type types[] = {
        MESSAGE_OFFER, MESSAGE_OFFER, MESSAGE_REFUSE, MESSAGE_HEAD,
        MESSAGE_CHUNK, MESSAGE_CHUNK, MESSAGE_END,    MESSAGE_ALIVE};
    uint32_t attempt = binding_attempt(fixture->binding);
    uint32_t node = (uint32_t)g_rand_int_range(fixture->rand, 0, NODES);
    struct message message = {
        .type = types[g_rand_int_range(fixture->rand, 0, G_N_ELEMENTS(types))],
        .attempt =
            (uint32_t)g_rand_int_range(fixture->rand, 0, (gint32)attempt + 2),
        .outcome = OUTCOME_RAN,
        .status = 200};
    uint64_t incarnation = g_rand_int_range(fixture->rand, 0, 8) == 0 ? 2 : 1;

    fill_message(fixture, &message);
    /* The agent that has the grant reports the truth: after OUTCOME_NOT_RUN
       the attempt never runs. */
    if (message.type == MESSAGE_END && message.outcome == OUTCOME_NOT_RUN &&
        incarnation == 1 && node == fixture->granted_node &&
        message.attempt == fixture->granted_attempt) {
        fixture->granted_attempt = 0;
    }
    binding_message(fixture->binding, node, incarnation, &message,
                    fixture->now_ms);
}

/* Delivers the frames that the bound agent sends next if nothing fails. */
static void
deliver_next_frames(struct fixture *fixture)
{
    struct message message = {.outcome = OUTCOME_RAN, .status = 200};
    uint32_t node;
    size_t received = fixture->received->len;

    if (!binding_bound_node(fixture->binding, &node)) {
        return;
    }
    message.attempt = binding_bound_attempt(fixture->binding);
    message.type = MESSAGE_HEAD;
    binding_message(fixture->binding, node, 1, &message, fixture->now_ms);
    message.type = received < sizeof(answer) ? MESSAGE_CHUNK : MESSAGE_END;
    message.offset = received;
    message.data = answer + received;
    message.data_bytes = MIN(sizeof(answer) - received, 5);
    message.checksum = XXH64(answer, sizeof(answer), 0);
    binding_message(fixture->binding, node, 1, &message, fixture->now_ms);
}

static void
random_step(struct fixture *fixture)
{
    uint32_t node = (uint32_t)g_rand_int_range(fixture->rand, 0, NODES);

    switch (g_rand_int_range(fixture->rand, 0, 16)) {
    case 0:
        binding_link_down(fixture->binding, node, fixture->now_ms);
        break;
    case 1:
        binding_link_up(fixture->binding, node,
                        (uint64_t)g_rand_int_range(fixture->rand, 1, 3),
                        fixture->now_ms);
        break;
    case 2:
        binding_link_silent(fixture->binding, node, fixture->now_ms);
        break;
    case 3:
        binding_node_draining(fixture->binding, node, fixture->now_ms);
        break;
    case 4:
        binding_claimed(fixture->binding, g_rand_boolean(fixture->rand),
                        REASON_STORE_DOWN, fixture->now_ms);
        break;
    case 5:
        binding_join_failed(fixture->binding);
        break;
    case 6:
    case 7:
        fixture->now_ms += (uint64_t)g_rand_int_range(fixture->rand, 0, 100);
        binding_timeout(fixture->binding, fixture->now_ms);
        break;
    case 8:
    case 9:
    case 10:
        deliver_next_frames(fixture);
        break;
    default:
        deliver_random_frame(fixture);
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
    struct fixture fixture = {.rand = g_rand_new_with_seed(seed),
                              .now_ms = 1000,
                              .received = g_byte_array_new()};
    struct binding_request request = {.time_limit_ms = TIME_LIMIT_MS};
    bool complete;

    request.repeatable = fixture.repeatable = g_rand_boolean(fixture.rand);
    request.streamed = g_rand_boolean(fixture.rand);
    request.keyed = !request.repeatable && g_rand_boolean(fixture.rand);
    fixture.binding = binding_create(&settings, &request, &ops, &fixture);
    binding_start(fixture.binding, fixture.now_ms);
    for (int i = 0; i < STEPS; i++) {
        random_step(&fixture);
    }
    fixture.now_ms = 1000 + TIME_LIMIT_MS;
    binding_timeout(fixture.binding, fixture.now_ms);
    g_assert_cmpuint(fixture.result_count, ==, 1);
    complete = fixture.result.complete;
    binding_destroy(fixture.binding);
    g_byte_array_unref(fixture.received);
    g_rand_free(fixture.rand);
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
    /* Some requests must complete, or the run checks too little. */
    g_assert_cmpuint(complete, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/binding/random", test_random);
    return g_test_run();
}
