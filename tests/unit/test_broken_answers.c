/* Guards against bytes that are no valid response and reach callers as one:
   what the gateway's and the agent's client make of responses that break the
   protocol, and of unusual ones that keep it. */

#include <glib.h>
#include <string.h>

#include "tests/raw_answer.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define THREE "Content-Length: 3\r\n\r\nabc"

enum {
    /* More than the buffers of two sockets take. */
    UPLOAD_BYTES = 32 * 1024 * 1024,
};

typedef void (*ask_function)(const struct raw_answer *answer,
                             struct raw_answer_outcome *outcome);

static const ask_function clients[] = {raw_answer_by_gateway,
                                       raw_answer_by_agent};

static void
ask_for(ask_function ask, const char *bytes,
        struct raw_answer_outcome *outcome)
{
    const struct raw_answer answer = {.bytes = bytes, .count = strlen(bytes)};

    ask(&answer, outcome);
}

/* Whole responses to a request without a body. */

static void
check_valid(const char *bytes, uint32_t status, const char *body)
{
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        struct raw_answer_outcome outcome;

        ask_for(clients[i], bytes, &outcome);
        if (!outcome.complete || outcome.status != status ||
            strcmp(outcome.body, body) != 0) {
            g_error("client %zu: complete=%d status=%u body=%s of %s", i,
                    outcome.complete, outcome.status, outcome.body, bytes);
        }
    }
}

/* Fails before its head is reported. */
static void
check_no_head(const char *bytes)
{
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        struct raw_answer_outcome outcome;

        ask_for(clients[i], bytes, &outcome);
        if (outcome.has_head || outcome.complete || !outcome.maybe_run) {
            g_error("client %zu: head=%d status=%u complete=%d of %s", i,
                    outcome.has_head, outcome.status, outcome.complete, bytes);
        }
    }
}

static void
check_status(uint32_t status, bool is_valid)
{
    char *bytes = g_strdup_printf("HTTP/1.1 %03u Status\r\n" THREE, status);

    if (is_valid) {
        check_valid(bytes, status, "abc");
    }
    else {
        check_no_head(bytes);
    }
    g_free(bytes);
}

/* Guards against callers that get a status that is none. */
static void
test_status(void)
{
    static const uint32_t valid[] = {200, 201, 206, 299, 300, 302, 399, 400,
                                     404, 421, 499, 500, 503, 504, 599};
    static const uint32_t invalid[] = {0,   1,   7,   20,  99, 101,
                                       600, 601, 700, 850, 999};

    for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
        check_status(valid[i], true);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        check_status(invalid[i], false);
    }
    check_valid("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" OK THREE,
                200, "abc");
    /* No other protocol was asked for. */
    check_no_head("HTTP/1.1 101 Switching Protocols\r\n\r\n" OK THREE);
}

/* Guards against heads that http-parser accepts and the protocol does not.
   What is valid is in tests/syntax. */
static void
test_head(void)
{
    static const char *const invalid[] = {
        "HTTP/1.1 0200 OK\r\n" THREE,
        "HTTP/1.1 7 OK\r\n" THREE,
        "HTTP/9.9 200 OK\r\n" THREE,
        "HXXXX1.1 200 OK\r\n" THREE,
        "HTTP/1.1 200 OK\rX" THREE,
        OK "A b: c\r\n" THREE,
        OK "A : b\r\n" THREE,
        OK " A: b\r\n" THREE,
        OK "A: b\r\n c: d\r\n" THREE,
        OK "A: b\r\n\tc: d\r\n" THREE,
        OK "A: \001b\r\n" THREE,
        OK "\rA: b\r\n" THREE,
        OK "\nA: b\r\n" THREE,
        OK "A\001b: c\r\n" THREE,
        OK "Content-Length : 3\r\n\r\nabc",
        OK "Content-\tLength: 3\r\n\r\nabc",
        OK "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" OK THREE,
    };

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        check_no_head(invalid[i]);
    }
    check_valid(OK "X-0!#$%&'*+-.^_`|~z: \351 \"quoted\" \t(c)\r\n" THREE, 200,
                "abc");
    check_valid("HTTP/1.0 404\r\nEmpty:\r\n\r\nabc", 404, "abc");
}

/* Guards against a body that is relayed as it was coded for the connection,
   without the header that says so. */
static void
test_coding(void)
{
    static const char *const codings[] = {
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "",
        "chunked;a=b",
        "identity",
        "x",
        "chunked\r\nTransfer-Encoding: chunked",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(codings); i++) {
        char *bytes = g_strdup_printf(
            OK "Transfer-Encoding: %s\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            codings[i]);

        check_no_head(bytes);
        g_free(bytes);
    }
    check_valid(OK "Transfer-Encoding:\tCHUNKED \r\n\r\n"
                   "3\r\nabc\r\n0\r\n\r\n",
                200, "abc");
    check_valid("HTTP/1.1 204 No Content\r\nTransfer-Encoding: gzip\r\n\r\n",
                204, "");
}

/* Guards against a body in chunks of which a part was left out. */
static void
test_chunks(void)
{
    static const char *const invalid[] = {
        CHUNKED "3\r\nabcXX0\r\n\r\n",
        CHUNKED "3\r\nabc\r\n2\r\nde60\r\n\r\n",
        CHUNKED "3\rXabc\r\n0\r\n\r\n",
        CHUNKED "3 zz\r\nabc\r\n0\r\n\r\n",
        CHUNKED "3\r\nabc\r\n0\r\n\rX",
        CHUNKED "3\r\nabc\r\n0\r\nA b: c\r\n\r\n",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        for (size_t c = 0; c < G_N_ELEMENTS(clients); c++) {
            struct raw_answer_outcome outcome;

            ask_for(clients[c], invalid[i], &outcome);
            if (outcome.complete || !outcome.maybe_run) {
                g_error("client %zu: complete=%d body=%s of %s", c,
                        outcome.complete, outcome.body, invalid[i]);
            }
        }
    }
    check_valid(CHUNKED "3;a=b\r\nabc\r\n02 \r\nde\r\n0\r\nA: b\r\n\r\n", 200,
                "abcde");
}

/* Guards against a response without a length that is reset while its request
   is being written, and that looks complete: the failed write took the error,
   and the next read reported the end of the connection. */
static void
test_reset_during_upload(void)
{
    static const char *const parts[] = {OK "\r\nabc", OK "\r\n",
                                        "HTTP/1.0 200 OK\r\n\r\nabc"};

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        for (size_t c = 0; c < G_N_ELEMENTS(clients); c++) {
            const struct raw_answer answer = {.bytes = parts[i],
                                              .count = strlen(parts[i]),
                                              .upload_bytes = UPLOAD_BYTES,
                                              .end = RAW_ANSWER_RESET};
            struct raw_answer_outcome outcome;

            clients[c](&answer, &outcome);
            g_assert_true(outcome.has_head);
            g_assert_false(outcome.complete);
            g_assert_true(outcome.maybe_run);
        }
    }
}

/* The end of the response was received before the reset. */
static void
test_end_during_upload(void)
{
    const struct raw_answer answer = {.bytes = OK "\r\nabc",
                                      .count = strlen(OK "\r\nabc"),
                                      .upload_bytes = UPLOAD_BYTES,
                                      .end = RAW_ANSWER_CLOSE_THEN_RESET};

    for (size_t c = 0; c < G_N_ELEMENTS(clients); c++) {
        struct raw_answer_outcome outcome;

        clients[c](&answer, &outcome);
        g_assert_true(outcome.complete);
        g_assert_cmpstr(outcome.body, ==, "abc");
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/broken-answers/status", test_status);
    g_test_add_func("/broken-answers/head", test_head);
    g_test_add_func("/broken-answers/coding", test_coding);
    g_test_add_func("/broken-answers/chunks", test_chunks);
    g_test_add_func("/broken-answers/reset-during-upload",
                    test_reset_during_upload);
    g_test_add_func("/broken-answers/end-during-upload",
                    test_end_during_upload);
    return g_test_run();
}
