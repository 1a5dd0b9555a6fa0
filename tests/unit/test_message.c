/* Tests the encoding of messages: each type is decoded as it was encoded, and
   invalid payloads are refused with a reason. */

#include <glib.h>
#include <string.h>

#include "core/frame_check.h"
#include "core/message.h"
#include "core/outcome.h"

enum {
    FRAME_LENGTH_BYTES = 4,
    MUTATIONS = 20000
};

static struct message
make_message(enum message_type type)
{
    static const uint8_t data[] = "a part of an answer";
    struct message message = {
        .type = type,
        .id = {0x1234567890abcdefULL, 77},
        .attempt = 3,
        .version = MESSAGE_VERSION,
        .incarnation = 42,
        .generation = 9,
        .instance = "entry-1",
        .data_centre = "split-a",
        .account = "split-lifts",
        .pool = "savjetnik",
        .work_class = WORK_PLAIN,
        .repeatable = 1,
        .prompt_tokens = 1000000,
        .max_tokens = 500,
        .budget_ms = 60000,
        .prefixes = {1, 2, UINT64_MAX},
        .prefix_count = 3,
        .cached_tokens = 512,
        .reason = REASON_LEAVING,
        .outcome = OUTCOME_UNKNOWN,
        .retry_after_ms = 1500,
        .method = "POST",
        .path = "/v1/completions?x=%20",
        .content_type = "application/json",
        .body_bytes = 1 << 20,
        .offset = 65536,
        .checksum = UINT64_MAX - 1,
        .status = 200,
        .data = data,
        .data_bytes = sizeof(data),
    };

    return message;
}

static void
test_round_trip(void)
{
    for (int type = MESSAGE_HELLO; type < MESSAGE_TYPE_COUNT; type++) {
        struct message in = make_message((enum message_type)type);
        struct message out;
        GByteArray *first = g_byte_array_new();
        GByteArray *second = g_byte_array_new();
        const char *why = NULL;

        message_encode(&in, first);
        g_assert_true(message_decode(first->data + FRAME_LENGTH_BYTES,
                                     first->len - FRAME_LENGTH_BYTES, &out,
                                     &why));
        g_assert_cmpint(out.type, ==, type);
        message_encode(&out, second);
        g_assert_cmpmem(first->data, first->len, second->data, second->len);
        g_byte_array_unref(first);
        g_byte_array_unref(second);
    }
}

static void
test_truncated(void)
{
    struct message in = make_message(MESSAGE_RESERVE);
    GByteArray *frame = g_byte_array_new();

    message_encode(&in, frame);
    for (guint length = 0; length < frame->len - FRAME_LENGTH_BYTES;
         length++) {
        struct message out;
        const char *why = NULL;

        g_assert_false(message_decode(frame->data + FRAME_LENGTH_BYTES, length,
                                      &out, &why));
        g_assert_nonnull(why);
    }
    g_byte_array_unref(frame);
}

/* msgpack has no pointer for an empty text before which no longer item came. A
   peer may send one. Found by test_mutations with seed 9. */
static void
test_empty_text(void)
{
    const struct message hello = {.type = MESSAGE_HELLO,
                                  .version = MESSAGE_VERSION,
                                  .instance = "",
                                  .data_centre = "split-a"};
    GByteArray *frame = g_byte_array_new();
    struct message out;
    const char *why = NULL;

    message_encode(&hello, frame);
    g_assert_true(message_decode(frame->data + FRAME_LENGTH_BYTES,
                                 frame->len - FRAME_LENGTH_BYTES, &out, &why));
    g_assert_cmpstr(out.instance, ==, "");
    g_assert_cmpstr(out.data_centre, ==, "split-a");
    g_byte_array_unref(frame);
}

/* Valid frames with random changes: each is refused, or decoded to values in
   range, without a crash. */
static void
test_mutated(void)
{
    GRand *rand = g_rand_new_with_seed(20261204);

    for (int round = 0; round < MUTATIONS; round++) {
        struct message in = make_message(
            (enum message_type)g_rand_int_range(rand, 1, MESSAGE_TYPE_COUNT));
        struct message out;
        GByteArray *frame = g_byte_array_new();
        const char *why = NULL;

        message_encode(&in, frame);
        for (int i = 0; i < 3; i++) {
            gint32 at =
                g_rand_int_range(rand, FRAME_LENGTH_BYTES, (gint32)frame->len);

            frame->data[at] = (guint8)g_rand_int_range(rand, 0, 256);
        }
        if (message_decode(frame->data + FRAME_LENGTH_BYTES,
                           frame->len - FRAME_LENGTH_BYTES, &out, &why)) {
            g_assert_cmpint(out.work_class, <, WORK_CLASS_COUNT);
            g_assert_cmpint(out.outcome, <=, OUTCOME_UNKNOWN);
            g_assert_cmpint(out.prefix_count, <=, MESSAGE_MAX_PREFIXES);
        }
        else {
            g_assert_nonnull(why);
        }
        g_byte_array_unref(frame);
    }
    g_rand_free(rand);
}

static void
test_too_long_text(void)
{
    struct message in = make_message(MESSAGE_GRANT);
    struct message out;
    GByteArray *frame = g_byte_array_new();
    const char *why = NULL;
    guint8 *method;

    message_encode(&in, frame);
    /* Replaces the msgpack header of "POST" by that of a string of 255 bytes,
       more than the frame still has. */
    method = memmem(frame->data, frame->len, "\xa4POST", 5);
    g_assert_nonnull(method);
    method[0] = 0xd9;
    method[1] = 0xff;
    g_assert_false(message_decode(frame->data + FRAME_LENGTH_BYTES,
                                  frame->len - FRAME_LENGTH_BYTES, &out,
                                  &why));
    g_byte_array_unref(frame);
}

/* An array header of five bytes announces 2^32 - 1 elements. It must be
   refused before msgpack-c allocates memory for them. */
static void
test_huge_array(void)
{
    static const uint8_t payload[] = {0x92, 0x02, 0xdd, 0xff,
                                      0xff, 0xff, 0xff};
    struct message out;
    const char *why = NULL;

    g_assert_false(frame_check(payload, sizeof(payload)));
    g_assert_false(message_decode(payload, sizeof(payload), &out, &why));
    g_assert_nonnull(why);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/message/round-trip", test_round_trip);
    g_test_add_func("/message/truncated", test_truncated);
    g_test_add_func("/message/empty-text", test_empty_text);
    g_test_add_func("/message/mutated", test_mutated);
    g_test_add_func("/message/too-long-text", test_too_long_text);
    g_test_add_func("/message/huge-array", test_huge_array);
    return g_test_run();
}
