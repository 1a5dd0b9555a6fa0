#include "operator/explain_options.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>

#include "core/ini.h"

enum {
    MAX_GATEWAYS = 512,
};

static void
clear_address(gpointer data)
{
    struct ini_address *address = data;

    g_free(address->ip);
}

static bool
read_gateways(const struct arg_str *argument, GArray *gateways)
{
    for (int i = 0; i < argument->count; i++) {
        struct ini_address address = {0};

        if (!ini_parse_address(argument->sval[i], &address)) {
            fprintf(stderr,
                    "dandelionfork: --gateway needs an address: ip:port\n");
            return false;
        }
        g_array_append_val(gateways, address);
    }
    return true;
}

static void
add_field(GString *query, const char *name, const char *value)
{
    g_string_append_printf(query, "%s%s=", query->len > 0 ? "&" : "", name);
    g_string_append_uri_escaped(query, value, NULL, FALSE);
}

static bool
add_deadline(const struct arg_str *deadline, GString *query)
{
    uint64_t ms;
    char *text;

    if (deadline->count == 0) {
        return true;
    }
    if (!ini_parse_duration_ms(deadline->sval[0], &ms)) {
        fprintf(stderr, "dandelionfork: --deadline needs a number with a "
                        "unit: ms, s, min or h\n");
        return false;
    }
    text = g_strdup_printf("%" PRIu64, ms);
    add_field(query, "deadline_ms", text);
    g_free(text);
    return true;
}

bool
explain_options_parse(int argc, char **argv, struct explain_options *out,
                      bool *is_error)
{
    struct arg_str *gateway =
        arg_strn("g", "gateway", "IP:PORT", 1, MAX_GATEWAYS,
                 "metrics address of a gateway; may be repeated");
    struct arg_lit *all = arg_lit0(
        "A", "all",
        "ask all gateways that the one knows, on the same metrics port");
    struct arg_lit *json = arg_lit0("j", "json", "print JSON");
    struct arg_str *host =
        arg_str1("H", "host", "HOST", "Host of the request");
    struct arg_str *path =
        arg_str0("p", "path", "PATH", "path of the request (/)");
    struct arg_str *method =
        arg_str0("m", "method", "METHOD", "method of the request (POST)");
    struct arg_str *account =
        arg_str0("a", "account", "NAME", "client account, by its name");
    struct arg_str *prompt = arg_str0(NULL, "prompt-tokens", "N",
                                      "length of the prompt (0: plain call)");
    struct arg_str *output =
        arg_str0(NULL, "output-tokens", "N", "tokens of output at most");
    struct arg_str *prefix = arg_str0(
        NULL, "prefix", "IDS", "ids of the prompt's shared parts: A,B,...");
    struct arg_str *body =
        arg_str0(NULL, "body-bytes", "N", "size of the body (0)");
    struct arg_str *deadline =
        arg_str0("d", "deadline", "TIME",
                 "time that the caller has left (the route's)");
    struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
    struct arg_end *end = arg_end(8);
    void *table[] = {gateway, all,    json,   host, path,     method, account,
                     prompt,  output, prefix, body, deadline, help,   end};
    const struct {
        const char *name;
        const struct arg_str *argument;
    } fields[] = {{"host", host},
                  {"path", path},
                  {"method", method},
                  {"account", account},
                  {"prompt_tokens", prompt},
                  {"output_tokens", output},
                  {"prefix", prefix},
                  {"body_bytes", body}};
    int error_count = arg_parse(argc, argv, table);
    GString *query = g_string_new(NULL);
    bool ok = false;

    *out = (struct explain_options){
        .gateways = g_array_new(FALSE, TRUE, sizeof(struct ini_address)),
        .all = all->count > 0,
        .json = json->count > 0};
    g_array_set_clear_func(out->gateways, clear_address);
    *is_error = help->count == 0;
    if (help->count > 0) {
        printf("Usage: dandelionfork explain");
        arg_print_syntax(stdout, table, "\n\n");
        arg_print_glossary_gnu(stdout, table);
    }
    else if (error_count > 0) {
        arg_print_errors(stderr, end, "dandelionfork");
    }
    else {
        for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
            if (fields[i].argument->count > 0) {
                add_field(query, fields[i].name, fields[i].argument->sval[0]);
            }
        }
        ok = read_gateways(gateway, out->gateways) &&
             add_deadline(deadline, query);
    }
    out->query = g_string_free(query, FALSE);
    arg_freetable(table, G_N_ELEMENTS(table));
    if (!ok) {
        explain_options_clear(out);
    }
    return ok;
}

void
explain_options_clear(struct explain_options *options)
{
    g_array_unref(options->gateways);
    g_free(options->query);
    *options = (struct explain_options){0};
}
