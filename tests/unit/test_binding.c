/* Single cases of the binding that sessions don't reach. */

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "core/binding.h"
#include "core/message.h"

static const uint8_t whole[] = "the whole answer";

struct caller {
    GByteArray *got;
    struct binding_result result;
    uint32_t results;
};

static size_t
op_candidates(void *context, uint32_t attempt, uint32_t *nodes, size_t max)
{
    (void)context;
    (void)attempt;
    (void)max;
    nodes[0] = 0;
    return 1;
}

static bool
op_reserve(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    (void)context;
    (void)node;
    (void)attempt;
    (void)budget_ms;
    return true;
}

static void
op_node(void *context, uint32_t node, uint32_t attempt)
{
    (void)context;
    (void)node;
    (void)attempt;
}

static void
op_grant(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    (void)budget_ms;
    op_node(context, node, attempt);
}

static void
op_resume(void *context, uint32_t node, uint32_t attempt, uint64_t offset)
{
    (void)offset;
    op_node(context, node, attempt);
}

static bool
op_may_retry(void *context)
{
    (void)context;
    return false;
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
    struct caller *caller = context;

    g_byte_array_append(caller->got, bytes, (guint)count);
}

static void
op_restart(void *context)
{
    (void)context;
}

static void
op_finish(void *context, const struct binding_result *result)
{
    struct caller *caller = context;

    caller->result = *result;
    caller->results++;
}

static const struct binding_ops ops = {
    op_candidates, op_reserve,   op_node, op_node, op_grant,   op_node,
    op_resume,     op_may_retry, op_head, op_data, op_restart, op_finish};

static const struct binding_settings settings = {.first_candidates = 1,
                                                 .widen_step = 1,
                                                 .widen_ms = 20,
                                                 .max_candidates = 1,
                                                 .resume_ms = 100,
                                                 .max_attempts = 1};

static void
frame(struct binding *binding, enum message_type type, uint64_t offset,
      size_t bytes)
{
    struct message message = {.type = type,
                              .attempt = 1,
                              .status = 200,
                              .outcome = OUTCOME_RAN,
                              .offset = offset,
                              .checksum = XXH64(whole, sizeof(whole), 0),
                              .data = whole + offset,
                              .data_bytes = bytes};

    binding_message(binding, 0, 1, &message, 10);
}

struct part {
    uint64_t offset;
    size_t bytes;
};

/* Plays a granted request whose answer comes in these parts. */
static struct caller
play_parts(const struct part *parts, size_t count)
{
    struct caller caller = {.got = g_byte_array_new()};
    const struct binding_request request = {.time_limit_ms = 1000};
    struct binding *binding =
        binding_create(&settings, &request, &ops, &caller);

    binding_start(binding, 0);
    frame(binding, MESSAGE_OFFER, 0, 0);
    frame(binding, MESSAGE_HEAD, 0, 0);
    for (size_t i = 0; i < count; i++) {
        frame(binding, MESSAGE_CHUNK, parts[i].offset, parts[i].bytes);
    }
    frame(binding, MESSAGE_END, sizeof(whole), 0);
    binding_destroy(binding);
    return caller;
}

/* Parts that overlap, as after a cut that lost a credit. */
static void
test_overlap(void)
{
    static const struct part parts[] = {
        {0, 8}, {4, 8}, {2, 6}, {6, sizeof(whole) - 6}};
    struct caller caller = play_parts(parts, G_N_ELEMENTS(parts));

    g_assert_cmpuint(caller.results, ==, 1);
    g_assert_true(caller.result.complete);
    g_assert_cmpmem(caller.got->data, caller.got->len, whole, sizeof(whole));
    g_byte_array_unref(caller.got);
}

/* A gap is an error, never a short answer. */
static void
test_gap(void)
{
    static const struct part parts[] = {{0, 4}, {8, sizeof(whole) - 8}};
    struct caller caller = play_parts(parts, G_N_ELEMENTS(parts));

    g_assert_cmpuint(caller.results, ==, 1);
    g_assert_false(caller.result.complete);
    g_assert_cmpint(caller.result.outcome, ==, OUTCOME_RAN);
    g_byte_array_unref(caller.got);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/binding/overlap", test_overlap);
    g_test_add_func("/binding/gap", test_gap);
    return g_test_run();
}
