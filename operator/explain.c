#include "operator/explain.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "core/ini.h"
#include "io/http_call.h"
#include "operator/explain_options.h"
#include "operator/explain_print.h"

enum {
    TIMEOUT_S = 2,
    /* Above what a gateway answers, with the most endpoints that it names. */
    MAX_ANSWER_BYTES = 1024 * 1024,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_TOO_MANY_REQUESTS = 429,
};

struct answer {
    char *address;
    enum operator_exit status;
    char *error;  /* NULL: none */
    json_t *json; /* NULL: there was an error */
};

static void
free_answer(gpointer data)
{
    struct answer *answer = data;

    g_free(answer->address);
    g_free(answer->error);
    json_decref(answer->json);
    g_free(answer);
}

static void
set_error(struct answer *answer, enum operator_exit status, const char *text)
{
    answer->status = status;
    answer->error = g_strdup(text);
}

static enum operator_exit
status_of_outcome(const char *outcome)
{
    static const struct {
        const char *outcome;
        enum operator_exit status;
    } statuses[] = {
        {"place", OPERATOR_OK},
        {"split", OPERATOR_OK},
        {"wait", OPERATOR_WOULD_WAIT},
        {"refuse", OPERATOR_WOULD_BE_REFUSED},
        {"no_route", OPERATOR_NO_ROUTE},
        {"unknown_account", OPERATOR_UNKNOWN_ACCOUNT},
    };

    for (size_t i = 0; outcome != NULL && i < G_N_ELEMENTS(statuses); i++) {
        if (strcmp(outcome, statuses[i].outcome) == 0) {
            return statuses[i].status;
        }
    }
    return OPERATOR_NO_ANSWER;
}

static void
read_answer(struct answer *answer, const GByteArray *body)
{
    answer->json = json_loadb((const char *)body->data, body->len, 0, NULL);
    answer->status = status_of_outcome(
        json_string_value(json_object_get(answer->json, "outcome")));
    if (answer->status == OPERATOR_NO_ANSWER) {
        json_decref(answer->json);
        answer->json = NULL;
        set_error(answer, OPERATOR_NO_ANSWER, "the answer is not understood");
    }
}

static void
read_refusal(struct answer *answer, uint32_t status, const GByteArray *body)
{
    json_t *json;
    const char *why;
    char *text;

    if (status == STATUS_NOT_FOUND) {
        set_error(answer, OPERATOR_OLDER_BUILD,
                  "the gateway is of an older build, which does not explain");
        return;
    }
    if (status == STATUS_TOO_MANY_REQUESTS) {
        set_error(answer, OPERATOR_NO_ANSWER,
                  "the gateway is asked too often; try again in a second");
        return;
    }
    json = json_loadb((const char *)body->data, body->len, 0, NULL);
    why = json_string_value(json_object_get(json, "error"));
    text = g_strdup_printf("the gateway answers with status %u%s%s", status,
                           why != NULL ? ": " : "", why != NULL ? why : "");
    set_error(answer, OPERATOR_NO_ANSWER, text);
    g_free(text);
    json_decref(json);
}

static struct answer *
ask(const struct ini_address *address, const char *query)
{
    struct http_session *session =
        http_session_create(address->ip, address->port, false);
    char *path = g_strconcat("/explain?", query, NULL);
    const struct http_request request = {.method = "GET", .path = path};
    GByteArray *body = g_byte_array_new();
    struct answer *answer = g_new0(struct answer, 1);
    GError *error = NULL;
    uint32_t status;

    answer->address = g_strdup_printf("%s:%u", address->ip, address->port);
    http_session_set_timeouts(session, TIMEOUT_S, TIMEOUT_S, TIMEOUT_S);
    status =
        http_call_fetch(session, &request, body, MAX_ANSWER_BYTES, &error);
    if (status == 0) {
        char *text = g_strdup_printf("the gateway can't be reached: %s",
                                     error->message);

        set_error(answer, OPERATOR_UNREACHABLE, text);
        g_free(text);
        g_error_free(error);
    }
    else if (status == STATUS_OK) {
        read_answer(answer, body);
    }
    else {
        read_refusal(answer, status, body);
    }
    g_byte_array_unref(body);
    g_free(path);
    http_session_destroy(session);
    return answer;
}

static bool
was_asked(const GPtrArray *answers, const char *address)
{
    for (guint i = 0; i < answers->len; i++) {
        const struct answer *answer = g_ptr_array_index(answers, i);

        if (strcmp(answer->address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* A gateway knows at which address others link to it, and not where their
   metrics are: they are asked at the port of the first one. */
static void
ask_others(const struct explain_options *options, GPtrArray *answers)
{
    const struct ini_address *first =
        &g_array_index(options->gateways, struct ini_address, 0);
    const struct answer *known = g_ptr_array_index(answers, 0);
    const json_t *list = json_object_get(known->json, "gateways");
    const json_t *entry;
    size_t i;

    json_array_foreach(list, i, entry)
    {
        struct ini_address address = {0};
        char *name;

        if (!json_is_string(entry) ||
            !ini_parse_address(json_string_value(entry), &address)) {
            continue;
        }
        address.port = first->port;
        name = g_strdup_printf("%s:%u", address.ip, address.port);
        if (!was_asked(answers, name)) {
            g_ptr_array_add(answers, ask(&address, options->query));
        }
        g_free(name);
        g_free(address.ip);
    }
    if (json_array_size(list) > answers->len) {
        fprintf(stderr,
                "dandelionfork: %zu gateways are known, %u were asked; give "
                "the metrics addresses of the others with --gateway\n",
                json_array_size(list), answers->len);
    }
}

static void
print_text(const GPtrArray *answers)
{
    for (guint i = 0; i < answers->len; i++) {
        const struct answer *answer = g_ptr_array_index(answers, i);

        if (answer->json != NULL) {
            explain_print(answer->address, answer->json);
        }
        else {
            fprintf(stderr, "dandelionfork: %s: %s\n", answer->address,
                    answer->error);
        }
    }
}

static void
print_json(const GPtrArray *answers)
{
    json_t *list = json_array();

    for (guint i = 0; i < answers->len; i++) {
        const struct answer *answer = g_ptr_array_index(answers, i);

        json_array_append_new(
            list,
            json_pack("{s:s, s:i, s:s?, s:O?}", "address", answer->address,
                      "exit_status", (int)answer->status, "error",
                      answer->error, "answer", answer->json));
    }
    json_dumpf(list, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(list);
}

enum operator_exit
explain_run(const struct explain_options *options)
{
    GPtrArray *answers = g_ptr_array_new_with_free_func(free_answer);
    enum operator_exit status = OPERATOR_OK;

    for (guint i = 0; i < options->gateways->len; i++) {
        g_ptr_array_add(answers, ask(&g_array_index(options->gateways,
                                                    struct ini_address, i),
                                     options->query));
    }
    if (options->all && options->gateways->len == 1) {
        ask_others(options, answers);
    }
    if (options->json) {
        print_json(answers);
    }
    else {
        print_text(answers);
    }
    for (guint i = 0; i < answers->len; i++) {
        const struct answer *answer = g_ptr_array_index(answers, i);

        status = MAX(status, answer->status);
    }
    g_ptr_array_unref(answers);
    return status;
}
