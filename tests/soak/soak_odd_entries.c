#include "tests/soak/soak_odd_entries.h"

#include <glib.h>

#include "tests/soak/soak_checker.h"
#include "tests/soak/soak_operator.h"

enum {
    NESTING = 100 * 1000,
};

/* @ stands for the address. */
static const struct field {
    const char *name;
    const char *value;
} fields[] = {
    {"service", "\"plain\""},
    {"address", "\"@\""},
    {"zone", "\"here\""},
    {"version", "\"v1\""},
    {"slots", "4"},
    {"state", "\"ready\""},
    {"cold_remaining_ms", "0"},
    {"sequence", "1"},
    {"born", "1790000000000"},
};

/* In place of each field's value; NULL: the field is missing. */
static const char *const odd_values[] = {NULL, "[]", "1e400",
                                         "99999999999999999999999", "null"};

/* In place of one field's value. */
static const struct field odd_fields[] = {
    {"address", "\"127.0.0.1:70000\""},
    {"address", "\"127.0.0.1:0\""},
    {"address", "\"127.0.0.1\""},
    {"address", "\"\""},
    {"state", "\"unknown\""},
    {"service", "\"unknown\""},
    {"slots", "-1"},
    {"slots", "\"4\""},
    {"born", "1790000000000.5"},
};

static const char *const garbage[] = {
    "", "null", "[]", "{}", "\"text\"", "{\"service\":", "\xff\xfe\x01{}", "7",
};

enum {
    FIELD_COUNT = G_N_ELEMENTS(fields),
    REPLACED_COUNT = G_N_ELEMENTS(fields) * G_N_ELEMENTS(odd_values),
    NAMED_END = REPLACED_COUNT + G_N_ELEMENTS(odd_fields),
    GARBAGE_END = NAMED_END + G_N_ELEMENTS(garbage),
    NESTED_ARRAYS = GARBAGE_END,
    NESTED_OBJECTS,
    NESTED_FIELD,
    ENTRY_COUNT,
};

/* A whole entry but for one field; value NULL: without it. */
static char *
format_entry(const char *name, const char *value)
{
    GString *out = g_string_new("{");

    for (uint32_t i = 0; i < FIELD_COUNT; i++) {
        const char *text =
            g_str_equal(fields[i].name, name) ? value : fields[i].value;

        if (text != NULL) {
            g_string_append_printf(out, "%s\"%s\":%s", out->len > 1 ? "," : "",
                                   fields[i].name, text);
        }
    }
    return g_string_free(g_string_append_c(out, '}'), FALSE);
}

static char *
repeat(const char *text)
{
    GString *out = g_string_new(NULL);

    for (uint32_t i = 0; i < NESTING; i++) {
        g_string_append(out, text);
    }
    return g_string_free(out, FALSE);
}

static char *
format_nested(uint32_t number)
{
    char *opening = repeat(number == NESTED_OBJECTS ? "{\"a\":" : "[");
    char *closing = repeat(number == NESTED_OBJECTS ? "}" : "]");
    char *nested = g_strconcat(opening, number == NESTED_OBJECTS ? "1" : "",
                               closing, NULL);
    char *entry = nested;

    if (number == NESTED_FIELD) {
        entry = format_entry("slots", nested);
        g_free(nested);
    }
    g_free(opening);
    g_free(closing);
    return entry;
}

static char *
format_number(uint32_t number)
{
    if (number < REPLACED_COUNT) {
        return format_entry(fields[number % FIELD_COUNT].name,
                            odd_values[number / FIELD_COUNT]);
    }
    if (number < NAMED_END) {
        const struct field *field = &odd_fields[number - REPLACED_COUNT];

        return format_entry(field->name, field->value);
    }
    if (number < GARBAGE_END) {
        return g_strdup(garbage[number - NAMED_END]);
    }
    return format_nested(number);
}

static void
write_entry(const char *key, uint32_t number, const char *address)
{
    char *format = format_number(number);
    char **parts = g_strsplit(format, "@", -1);
    char *text = g_strjoinv(address, parts);

    soak_operator_put(key, text);
    g_free(text);
    g_strfreev(parts);
    g_free(format);
}

uint32_t
soak_odd_entries_count(void)
{
    return ENTRY_COUNT;
}

void
soak_odd_entries_write(uint32_t worker, uint32_t first)
{
    char *key = g_strdup_printf("servers/worker-%u", worker + 1);
    char *own = soak_operator_worker_address(worker);
    /* The entries say that it is a plain worker. */
    char *other = soak_operator_worker_address(SOAK_PLAIN_WORKERS);

    for (uint32_t i = 0; i < ENTRY_COUNT; i++) {
        char *odd_key = g_strdup_printf("servers/odd-%u", i);

        write_entry(key, (first + i) % ENTRY_COUNT, own);
        write_entry(odd_key, i, other);
        g_free(odd_key);
    }
    g_free(other);
    g_free(own);
    g_free(key);
}

void
soak_odd_entries_remove(void)
{
    for (uint32_t i = 0; i < ENTRY_COUNT; i++) {
        char *key = g_strdup_printf("servers/odd-%u", i);

        soak_operator_remove(key);
        g_free(key);
    }
}
