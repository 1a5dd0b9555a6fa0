/* Tests how a binding assembles an answer from chunks that overlap or leave a
   gap. The scripted sessions don't reach these cases. */

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "core/binding.h"
#include "core/message.h"

static const uint8_t answer[] = "the whole answer";

struct client {
    GByteArray *received;
    struct binding_result result;
    uint32_t result_count;
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
op_ignore_node(void *context, uint32_t node, uint32_t attempt)
{
    (void)context;
    (void)node;
    (void)attempt;
}

static void
op_grant(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    (void)budget_ms;
    op_ignore_node(context, node, attempt);
}

static void
op_resume(void *context, uint32_t node, uint32_t attempt, uint64_t offset)
{
    (void)offset;
    op_ignore_node(context, node, attempt);
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
    struct client *client = context;

    g_byte_array_append(client->received, bytes, (guint)count);
}

static void
op_restart(void *context)
{
    (void)context;
}

static void
op_finish(void *context, const struct binding_result *result)
{
    struct client *client = context;

    client->result = *result;
    client->result_count++;
}

static const struct binding_ops ops = {
    op_candidates, op_reserve,     op_ignore_node, op_ignore_node,
    op_grant,      op_ignore_node, op_resume,      op_may_retry,
    op_head,       op_data,        op_restart,     op_finish};

static const struct binding_settings settings = {.first_candidates = 1,
                                                 .widen_step = 1,
                                                 .widen_ms = 20,
                                                 .max_candidates = 1,
                                                 .resume_ms = 100,
                                                 .max_attempts = 1};

static void
deliver_frame(struct binding *binding, enum message_type type, uint64_t offset,
              size_t bytes)
{
    struct message message = {.type = type,
                              .attempt = 1,
                              .status = 200,
                              .outcome = OUTCOME_RAN,
                              .offset = offset,
                              .checksum = XXH64(answer, sizeof(answer), 0),
                              .data = answer + offset,
                              .data_bytes = bytes};

    binding_message(binding, 0, 1, &message, 10);
}

struct chunk {
    uint64_t offset;
    size_t bytes;
};

/* Runs a granted request whose answer arrives in the given chunks. */
static struct client
run_with_chunks(const struct chunk *chunks, size_t count)
{
    struct client client = {.received = g_byte_array_new()};
    const struct binding_request request = {.time_limit_ms = 1000};
    struct binding *binding =
        binding_create(&settings, &request, &ops, &client);

    binding_start(binding, 0);
    deliver_frame(binding, MESSAGE_OFFER, 0, 0);
    deliver_frame(binding, MESSAGE_HEAD, 0, 0);
    for (size_t i = 0; i < count; i++) {
        deliver_frame(binding, MESSAGE_CHUNK, chunks[i].offset,
                      chunks[i].bytes);
    }
    deliver_frame(binding, MESSAGE_END, sizeof(answer), 0);
    binding_destroy(binding);
    return client;
}

/* Bytes arrive again if a second request joins the work: the agent replays the
   response from its start, and the first request gets these frames too. */
static void
test_overlap(void)
{
    static const struct chunk chunks[] = {
        {0, 8}, {4, 8}, {2, 6}, {6, sizeof(answer) - 6}};
    struct client client = run_with_chunks(chunks, G_N_ELEMENTS(chunks));

    g_assert_cmpuint(client.result_count, ==, 1);
    g_assert_true(client.result.complete);
    g_assert_cmpmem(client.received->data, client.received->len, answer,
                    sizeof(answer));
    g_byte_array_unref(client.received);
}

/* An answer with a gap is an error; it isn't reported as complete. */
static void
test_gap(void)
{
    static const struct chunk chunks[] = {{0, 4}, {8, sizeof(answer) - 8}};
    struct client client = run_with_chunks(chunks, G_N_ELEMENTS(chunks));

    g_assert_cmpuint(client.result_count, ==, 1);
    g_assert_false(client.result.complete);
    g_assert_cmpint(client.result.outcome, ==, OUTCOME_RAN);
    g_byte_array_unref(client.received);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/binding/overlap", test_overlap);
    g_test_add_func("/binding/gap", test_gap);
    return g_test_run();
}
