/* Guards against a response that an endpoint breaks off within its head and
   that looks complete: the head of each kind of response is cut after each of
   its bytes, and the connection closed or reset, at the gateway's and the
   agent's client. */

#include <glib.h>
#include <string.h>

#include "tests/raw_answer.h"

#define ID "Attempt-Id: 1\r\nResponse-Signature: s\r\n"

static const struct kind {
    const char *name;
    const char *head;
    bool head_only;
} kinds[] = {
    {"length", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 3\r\n\r\n", false},
    {"empty", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 0\r\n\r\n", false},
    {"chunks", "HTTP/1.1 200 OK\r\n" ID "Transfer-Encoding: chunked\r\n\r\n",
     false},
    {"until the end", "HTTP/1.1 200 OK\r\n" ID "\r\n", false},
    {"of HTTP 1.0", "HTTP/1.0 200 OK\r\n" ID "\r\n", false},
    {"events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
     false},
    {"no content", "HTTP/1.1 204 No Content\r\n" ID "\r\n", false},
    {"not modified", "HTTP/1.1 304 Not Modified\r\n" ID "\r\n", false},
    {"to HEAD", "HTTP/1.1 200 OK\r\n" ID "Content-Length: 3\r\n\r\n", true},
    {"closed after", "HTTP/1.1 200 OK\r\nConnection: close\r\n" ID "\r\n",
     false},
    {"informational",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" ID "\r\n", false},
    {"folded", "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n" ID "\r\n", false},
};

static void
check_cut(const struct kind *kind, size_t count, bool resets,
          void (*ask)(const struct raw_answer *answer,
                      struct raw_answer_outcome *outcome))
{
    const struct raw_answer answer = {.bytes = kind->head,
                                      .count = count,
                                      .head_only = kind->head_only,
                                      .end = resets ? RAW_ANSWER_RESET
                                                    : RAW_ANSWER_CLOSE};
    struct raw_answer_outcome outcome;

    ask(&answer, &outcome);
    if (outcome.has_head || outcome.body_bytes > 0 || outcome.complete ||
        !outcome.maybe_run) {
        g_error("%s, cut after %zu bytes: head=%d complete=%d maybe_run=%d",
                kind->name, count, outcome.has_head, outcome.complete,
                outcome.maybe_run);
    }
}

static void
check_all(void (*ask)(const struct raw_answer *answer,
                      struct raw_answer_outcome *outcome))
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        for (size_t count = 0; count < strlen(kinds[i].head); count++) {
            check_cut(&kinds[i], count, false, ask);
            check_cut(&kinds[i], count, true, ask);
        }
    }
}

static void
test_gateway(void)
{
    check_all(raw_answer_by_gateway);
}

static void
test_agent(void)
{
    check_all(raw_answer_by_agent);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cut-heads/gateway", test_gateway);
    g_test_add_func("/cut-heads/agent", test_agent);
    return g_test_run();
}
