#include "operator/options.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "io/version.h"

enum {
    DEFAULT_TIMEOUT_MS = 10000
};

struct command_info {
    const char *name;
    const char *summary;
    bool needs_store;
};

static const struct command_info commands[COMMAND_COUNT] = {
    [COMMAND_CHECK] = {"check", "Validates the two tables; needs no store.",
                       false},
    [COMMAND_DIFF] = {"diff", "Shows what applying the tables would change.",
                      true},
    [COMMAND_APPLY] = {"apply", "Puts the tables in force.", true},
    [COMMAND_SHOW] = {"show", "Prints the tables in force.", true},
    [COMMAND_HISTORY] = {"history", "Prints the audit trail of changes.",
                         true},
    [COMMAND_STATUS] = {"status",
                        "Prints the generation that each process has.", true},
    [COMMAND_EXPLAIN] = {"explain",
                         "Asks gateways what they would do with a request.",
                         false},
};

static void
print_usage(FILE *out)
{
    fprintf(out, "Usage: dandelionfork COMMAND [OPTIONS]\n\n"
                 "Manages the configuration of dandelionfork: its tables of "
                 "routes and pools.\n\n");
    for (int i = 0; i < COMMAND_COUNT; i++) {
        fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].summary);
    }
    fprintf(out, "\ndandelionfork COMMAND --help prints its options.\n");
}

static bool
find_command(const char *name, enum command *out)
{
    for (int i = 0; i < COMMAND_COUNT; i++) {
        if (strcmp(commands[i].name, name) == 0) {
            *out = (enum command)i;
            return true;
        }
    }
    return false;
}

static const char *
string_or_default(const struct arg_str *argument, const char *fallback)
{
    return argument->count > 0 ? argument->sval[0] : fallback;
}

static bool
parse_store_address(const struct arg_str *store, struct options *out)
{
    if (store->count == 0) {
        if (commands[out->command].needs_store) {
            fprintf(stderr, "dandelionfork: --store ADDRESS is missing\n");
            return false;
        }
        return true;
    }
    if (!ini_parse_address(store->sval[0], &out->store_address)) {
        fprintf(stderr, "dandelionfork: --store needs an address: ip:port\n");
        return false;
    }
    return true;
}

static bool
parse_timeout(const struct arg_str *timeout, struct options *out)
{
    out->timeout_ms = DEFAULT_TIMEOUT_MS;
    if (timeout->count > 0 &&
        !ini_parse_duration_ms(timeout->sval[0], &out->timeout_ms)) {
        fprintf(stderr, "dandelionfork: --timeout needs a number with a "
                        "unit: ms, s, min or h\n");
        return false;
    }
    return true;
}

static bool
parse_base(const struct arg_int *base, struct options *out)
{
    if (base->count == 0) {
        return true;
    }
    if (base->ival[0] < 0) {
        fprintf(stderr, "dandelionfork: --base needs a generation\n");
        return false;
    }
    out->has_base = true;
    out->base = (uint64_t)base->ival[0];
    return true;
}

static bool
parse_command(int argc, char **argv, struct options *out,
              enum operator_exit *status)
{
    struct arg_str *store = arg_str0(
        "s", "store", "ADDRESS", "the platform's key-value service, ip:port");
    struct arg_str *routes =
        arg_str0("r", "routes", "FILE", "table of routes (routes.ini)");
    struct arg_str *pools =
        arg_str0("p", "pools", "FILE", "table of pools (pools.ini)");
    struct arg_int *base =
        arg_int0("b", "base", "N",
                 "generation that was edited (header of routes FILE)");
    struct arg_str *author =
        arg_str0("a", "author", "NAME", "name of the operator ($USER)");
    struct arg_str *change = arg_str0(
        "c", "change", "ID", "id of the change (apply: a random one)");
    struct arg_str *timeout =
        arg_str0("t", "timeout", "TIME",
                 "how long apply waits for all processes (10s)");
    struct arg_str *agents =
        arg_str0(NULL, "agent-service", "NAME", "service name of the agents");
    struct arg_str *entries =
        arg_str0(NULL, "entry-service", "NAME", "service name of the entries");
    struct arg_lit *dry_run =
        arg_lit0("n", "dry-run", "validate and compare only, write nothing");
    struct arg_lit *json = arg_lit0("j", "json", "print JSON");
    struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
    struct arg_end *end = arg_end(8);
    void *table[] = {store,  routes,  pools,   base, author, change, timeout,
                     agents, entries, dry_run, json, help,   end};
    int error_count = arg_parse(argc, argv, table);
    bool ok = false;

    *status = OPERATOR_USAGE;
    if (help->count > 0) {
        printf("Usage: dandelionfork %s", commands[out->command].name);
        arg_print_syntax(stdout, table, "\n");
        printf("%s\n\n", commands[out->command].summary);
        arg_print_glossary_gnu(stdout, table);
        *status = OPERATOR_OK;
    }
    else if (error_count > 0) {
        arg_print_errors(stderr, end, "dandelionfork");
    }
    else {
        out->routes_file = string_or_default(routes, "routes.ini");
        out->pools_file = string_or_default(pools, "pools.ini");
        out->author = string_or_default(author, g_get_user_name());
        out->change_id = string_or_default(change, NULL);
        out->agent_service = string_or_default(agents, "dandelionfork-agent");
        out->entry_service = string_or_default(entries, "dandelionfork-entry");
        out->json = json->count > 0;
        out->dry_run = dry_run->count > 0;
        ok = parse_store_address(store, out) && parse_timeout(timeout, out) &&
             parse_base(base, out);
    }
    /* The options point into argv; nothing refers to the argument table. */
    arg_freetable(table, G_N_ELEMENTS(table));
    return ok;
}

static bool
parse_explain(int argc, char **argv, struct options *out,
              enum operator_exit *status)
{
    bool is_error = false;
    bool ok = explain_options_parse(argc, argv, &out->explain, &is_error);

    *status = is_error && !ok ? OPERATOR_USAGE : OPERATOR_OK;
    return ok;
}

bool
options_parse(int argc, char **argv, struct options *out,
              enum operator_exit *status)
{
    memset(out, 0, sizeof(*out));
    *status = OPERATOR_OK;
    if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return false;
    }
    if (argc >= 2 && strcmp(argv[1], "--version") == 0) {
        version_print("dandelionfork");
        return false;
    }
    if (argc < 2 || !find_command(argv[1], &out->command)) {
        print_usage(stderr);
        *status = OPERATOR_USAGE;
        return false;
    }
    if (out->command == COMMAND_EXPLAIN) {
        return parse_explain(argc - 1, argv + 1, out, status);
    }
    return parse_command(argc - 1, argv + 1, out, status);
}
