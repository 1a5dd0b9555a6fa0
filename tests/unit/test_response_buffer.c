/* Tests what an agent sends again of a failed response whose body it has
   dropped: a reader that joins later, or comes back, must get the failure. */

#include <glib.h>

#include "core/message.h"
#include "core/response_buffer.h"

static void
record(void *context, struct message *message)
{
    GArray *types = context;

    g_array_append_val(types, message->type);
    if (message->type == MESSAGE_END) {
        g_assert_cmpint(message->reason, ==, REASON_ENDPOINT_FAILED);
        g_assert_cmpint(message->outcome, ==, OUTCOME_UNKNOWN);
    }
}

static void
test_discarded(void)
{
    static const uint8_t part[] = "part";
    struct response_buffer *buffer = response_buffer_create();

    response_buffer_set_head(buffer, 200, "");
    response_buffer_append(buffer, part, sizeof(part));
    response_buffer_consume(buffer, 2);
    response_buffer_end(buffer, OUTCOME_UNKNOWN, REASON_ENDPOINT_FAILED, 1);
    response_buffer_discard(buffer);
    g_assert_cmpuint(response_buffer_produced_bytes(buffer), ==, sizeof(part));
    for (uint64_t offset = 0; offset <= sizeof(part); offset++) {
        GArray *types = g_array_new(FALSE, FALSE, sizeof(enum message_type));

        g_assert_true(response_buffer_replay(buffer, offset, record, types));
        g_assert_cmpuint(types->len, ==, 1);
        g_assert_cmpint(g_array_index(types, enum message_type, 0), ==,
                        MESSAGE_END);
        g_array_unref(types);
    }
    response_buffer_destroy(buffer);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response-buffer/discarded", test_discarded);
    return g_test_run();
}
