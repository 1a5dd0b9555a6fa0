#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/config_head.h"
#include "io/http_call.h"
#include "io/store.h"
#include "operator/apply.h"
#include "operator/audit.h"
#include "operator/edit.h"
#include "operator/explain.h"
#include "operator/fleet_status.h"
#include "operator/options.h"

static enum operator_exit
run_check(const struct options *options)
{
    struct edit edit;
    enum operator_exit status = edit_read(options, &edit);

    if (status == OPERATOR_OK && !options->json) {
        printf("%s and %s are valid\n", options->routes_file,
               options->pools_file);
    }
    if (options->json) {
        printf("{\"ok\": %s}\n", status == OPERATOR_OK ? "true" : "false");
    }
    edit_clear(&edit);
    return status;
}

static enum operator_exit
run_show(const struct options *options, struct store *store)
{
    struct config_head *head;
    uint64_t index;
    enum operator_exit status = apply_read_head(store, &head, &index);

    if (status != OPERATOR_OK) {
        return status;
    }
    if (options->json) {
        char *text = config_head_encode(head);

        printf("%s\n", text);
        free(text);
    }
    else {
        printf("# generation = %lu\n# change = %s\n\n# routes\n%s\n# pools\n"
               "%s",
               (unsigned long)head->generation, head->change, head->routes,
               head->pools);
    }
    config_head_destroy(head);
    return OPERATOR_OK;
}

struct history_output {
    bool json;
    uint32_t line_count;
};

static void
print_history_line(void *context, const char *text)
{
    struct history_output *output = context;
    json_error_t ignored;
    json_t *line = json_loads(text, 0, &ignored);
    json_int_t base = 0;
    json_int_t generation = 0;
    const char *id = "";
    const char *result = "";
    const char *author = "";
    const char *time = "";
    const char *difference = "";
    const char *why = NULL;

    output->line_count++;
    if (output->json || line == NULL) {
        printf("%s\n", text);
        json_decref(line);
        return;
    }
    json_unpack(line, "{s:s, s:s, s:I, s:I, s:s, s:s, s:s, s?s}", "change",
                &id, "result", &result, "base", &base, "generation",
                &generation, "author", &author, "time", &time, "difference",
                &difference, "why", &why);
    printf("%s %s %s", time, author, result);
    if (generation != 0) {
        printf(" as generation %lld", (long long)generation);
    }
    printf(", from %lld, change %s%s%s\n", (long long)base, id,
           why != NULL ? ": " : "", why != NULL ? why : "");
    if (difference[0] != '\0') {
        printf("  %s\n", difference);
    }
    json_decref(line);
}

/* Completes the audit trail before history reads it, so that history also
   shows changes that the head has and the trail still lacks. */
static bool
append_missing_changes(struct store *store)
{
    struct config_head *head;
    uint64_t index;
    bool ok = apply_read_head(store, &head, &index) == OPERATOR_OK &&
              audit_append_missing(store, head, NULL);

    config_head_destroy(head);
    return ok;
}

static enum operator_exit
run_history(const struct options *options, struct store *store)
{
    struct history_output output = {options->json, 0};
    GError *error = NULL;

    if (!append_missing_changes(store) ||
        !audit_read(store, options->change_id, print_history_line, &output,
                    &error)) {
        fprintf(stderr, "dandelionfork: the audit trail can't be read%s%s\n",
                error != NULL ? ": " : "",
                error != NULL ? error->message : "");
        g_clear_error(&error);
        return OPERATOR_STORE_UNAVAILABLE;
    }
    if (options->change_id != NULL && output.line_count == 0 &&
        !options->json) {
        printf("change %s was not accepted\n", options->change_id);
        return OPERATOR_REFUSED;
    }
    return OPERATOR_OK;
}

static enum operator_exit
run_status(const struct options *options, struct store *store)
{
    struct config_head *head;
    uint64_t index;
    GError *error = NULL;
    GPtrArray *processes;
    enum operator_exit status = apply_read_head(store, &head, &index);

    if (status != OPERATOR_OK) {
        return status;
    }
    processes = fleet_status_read(options, store, &error);
    if (processes == NULL) {
        fprintf(stderr, "dandelionfork: %s\n", error->message);
        g_error_free(error);
        config_head_destroy(head);
        return OPERATOR_STORE_UNAVAILABLE;
    }
    fleet_status_print(processes, head->generation, options->json);
    status = fleet_status_count(processes, head->generation) == processes->len
                 ? OPERATOR_OK
                 : OPERATOR_NOT_IN_FORCE;
    g_ptr_array_unref(processes);
    config_head_destroy(head);
    return status;
}

static enum operator_exit
run_with_store(const struct options *options)
{
    struct store *store =
        store_create(options->store_address.ip, options->store_address.port);
    enum operator_exit status = OPERATOR_USAGE;

    switch (options->command) {
    case COMMAND_DIFF:
        status = apply_diff(options, store);
        break;
    case COMMAND_APPLY:
        status = apply_run(options, store);
        break;
    case COMMAND_SHOW:
        status = run_show(options, store);
        break;
    case COMMAND_HISTORY:
        status = run_history(options, store);
        break;
    case COMMAND_STATUS:
        status = run_status(options, store);
        break;
    case COMMAND_CHECK:
    case COMMAND_EXPLAIN:
    case COMMAND_COUNT:
        break;
    }
    store_destroy(store);
    return status;
}

static enum operator_exit
run(struct options *options)
{
    enum operator_exit status;

    switch (options->command) {
    case COMMAND_CHECK:
        return run_check(options);
    case COMMAND_EXPLAIN:
        status = explain_run(&options->explain);
        explain_options_clear(&options->explain);
        return status;
    default:
        return run_with_store(options);
    }
}

int
main(int argc, char **argv)
{
    struct options options;
    enum operator_exit status;

    signal(SIGPIPE, SIG_IGN);
    if (!options_parse(argc, argv, &options, &status)) {
        return (int)status;
    }
    status = run(&options);
    g_free(options.store_address.ip);
    return (int)status;
}
