#include "core/ini.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

enum {
    MAX_NAME_LENGTH = 63,
    MAX_PORT = 65535,
    FIRST_MULTICAST = 224, /* first number of such IPv4 addresses */
    MAX_FRACTION = 1000000000,
};

/* Largest duration: every integer up to it is exact as a double. */
#define MAX_DURATION_MS (UINT64_C(1) << 53)

/* Above the error of a decimal fraction as a double, for numbers whose
   fraction matters. */
static const double decimal_error = 1e-6;

struct ini {
    char *file;
    GKeyFile *keys;
    GHashTable *lines; /* "section\nkey" to line number; the section
                          itself has an empty key */
    char **sections;
};

struct unit {
    const char *name;
    uint64_t factor;
};

static const struct unit duration_units[] = {
    {"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}, {NULL, 0}};

static const struct unit byte_units[] = {{"B", 1},
                                         {"KiB", UINT64_C(1) << 10},
                                         {"MiB", UINT64_C(1) << 20},
                                         {"GiB", UINT64_C(1) << 30},
                                         {NULL, 0}};

static const struct unit percent_units[] = {{"%", 1}, {NULL, 0}};

static const struct unit plain_units[] = {{"", 1}, {NULL, 0}};

static char *
line_key(const char *section, const char *key)
{
    return g_strconcat(section, "\n", key, NULL);
}

/* Returns the line of a key or, for a missing key or NULL, of its section; 0
   if that is missing too. */
static guint
find_line(const struct ini *ini, const char *section, const char *key)
{
    char *name = line_key(section, key != NULL ? key : "");
    guint line = GPOINTER_TO_UINT(g_hash_table_lookup(ini->lines, name));

    g_free(name);
    if (line == 0 && key != NULL) {
        return find_line(ini, section, NULL);
    }
    return line;
}

void
ini_error(const struct ini *ini, const char *section, const char *key,
          GPtrArray *errors, const char *format, ...)
{
    va_list args;
    char *text;
    char *place;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    place = key != NULL ? g_strdup_printf("[%s].%s", section, key)
                        : g_strdup_printf("[%s]", section);
    g_ptr_array_add(errors, g_strdup_printf("%s:%u: %s: %s", ini->file,
                                            find_line(ini, section, key),
                                            place, text));
    g_free(place);
    g_free(text);
}

/* Returns false if the section or key already had a line. */
static bool
record_line(struct ini *ini, const char *section, const char *key, guint line)
{
    return g_hash_table_insert(ini->lines, line_key(section, key),
                               GUINT_TO_POINTER(line));
}

/* Records line numbers and reports repeated sections and keys, since GKeyFile
   keeps no line numbers and merges repeated ones. */
static void
scan_lines(struct ini *ini, const char *text, GPtrArray *errors)
{
    char **lines = g_strsplit(text, "\n", -1);
    char *section = g_strdup("");

    for (guint i = 0; lines[i] != NULL; i++) {
        char *line = g_strstrip(lines[i]);
        char *equals = strchr(line, '=');
        size_t length = strlen(line);

        if (line[0] == '[' && length > 2 && line[length - 1] == ']') {
            g_free(section);
            section = g_strndup(line + 1, length - 2);
            if (!record_line(ini, section, "", i + 1)) {
                ini_error(ini, section, NULL, errors,
                          "the section is given twice");
            }
        }
        else if (line[0] != '#' && equals != NULL) {
            *equals = '\0';
            g_strchomp(line);
            if (!record_line(ini, section, line, i + 1)) {
                ini_error(ini, section, line, errors,
                          "the key is given twice");
            }
        }
    }
    g_free(section);
    g_strfreev(lines);
}

struct ini *
ini_create(const char *text, const char *file, GPtrArray *errors)
{
    struct ini *ini = g_new0(struct ini, 1);
    GError *error = NULL;

    ini->file = g_strdup(file);
    ini->keys = g_key_file_new();
    ini->lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (!g_key_file_load_from_data(ini->keys, text, strlen(text),
                                   G_KEY_FILE_NONE, &error) &&
        !g_error_matches(error, G_KEY_FILE_ERROR,
                         G_KEY_FILE_ERROR_NOT_FOUND)) {
        g_ptr_array_add(errors,
                        g_strdup_printf("%s:1: %s", file, error->message));
        g_error_free(error);
        ini_destroy(ini);
        return NULL;
    }
    g_clear_error(&error);
    scan_lines(ini, text, errors);
    ini->sections = g_key_file_get_groups(ini->keys, NULL);
    return ini;
}

void
ini_destroy(struct ini *ini)
{
    if (ini == NULL) {
        return;
    }
    g_free(ini->file);
    g_key_file_free(ini->keys);
    g_hash_table_destroy(ini->lines);
    g_strfreev(ini->sections);
    g_free(ini);
}

const char *const *
ini_sections(const struct ini *ini)
{
    return (const char *const *)ini->sections;
}

static bool
parse_number(const char *text, const struct unit *units, uint64_t *out)
{
    char *end;
    guint64 number;

    if (!g_ascii_isdigit(text[0])) {
        return false;
    }
    number = g_ascii_strtoull(text, &end, 10);
    while (*end == ' ') {
        end++;
    }
    for (; units->name != NULL; units++) {
        if (strcmp(end, units->name) == 0) {
            if (number > UINT64_MAX / units->factor) {
                return false;
            }
            *out = number * units->factor;
            return true;
        }
    }
    return false;
}

/* Parses a decimal number that may have a fraction and an exponent. */
static bool
parse_decimal(const char *text, char **end, double *out)
{
    if (!g_ascii_isdigit(text[0]) || text[1] == 'x' || text[1] == 'X') {
        return false;
    }
    *out = g_ascii_strtod(text, end);
    return true;
}

bool
ini_parse_duration_ms(const char *text, uint64_t *out_ms)
{
    const struct unit *unit = duration_units;
    double number;
    double duration_ms;
    char *end;

    if (!parse_decimal(text, &end, &number)) {
        return false;
    }
    while (*end == ' ') {
        end++;
    }
    while (unit->name != NULL && strcmp(end, unit->name) != 0) {
        unit++;
    }
    duration_ms = number * (double)unit->factor + decimal_error;
    if (unit->name == NULL || duration_ms >= (double)MAX_DURATION_MS) {
        return false;
    }
    *out_ms = (uint64_t)duration_ms;
    return true;
}

bool
ini_parse_address(const char *text, struct ini_address *out)
{
    const char *colon = strrchr(text, ':');
    uint64_t port;
    char *ip;

    if (colon == NULL || !parse_number(colon + 1, plain_units, &port) ||
        port > MAX_PORT) {
        return false;
    }
    ip = g_strndup(text, (gsize)(colon - text));
    if (!g_hostname_is_ip_address(ip) || strchr(ip, ':') != NULL) {
        g_free(ip);
        return false;
    }
    out->ip = ip;
    out->port = (uint16_t)port;
    return true;
}

/* Whether an IPv4 address may be that of a host: not of a group of hosts or,
   beginning with 0, of none. */
static bool
is_host(const char *ip)
{
    guint64 first = g_ascii_strtoull(ip, NULL, 10);

    return first > 0 && first < FIRST_MULTICAST;
}

bool
ini_parse_target(const char *text, struct ini_address *out)
{
    struct ini_address address;

    if (strchr(text, ' ') != NULL || !ini_parse_address(text, &address)) {
        return false;
    }
    if (address.port == 0 || !is_host(address.ip)) {
        g_free(address.ip);
        return false;
    }
    *out = address;
    return true;
}

static bool
is_name(const char *text)
{
    if (text[0] == '\0' || strlen(text) > MAX_NAME_LENGTH) {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (!g_ascii_isalnum(*text) && strchr("._-", *text) == NULL) {
            return false;
        }
    }
    return true;
}

static char **
split_list(const char *text)
{
    char **parts = g_strsplit(text, ";", -1);
    GPtrArray *kept = g_ptr_array_new();

    for (size_t i = 0; parts[i] != NULL; i++) {
        char *part = g_strstrip(parts[i]);

        if (part[0] != '\0') {
            g_ptr_array_add(kept, g_strdup(part));
        }
    }
    g_strfreev(parts);
    g_ptr_array_add(kept, NULL);
    return (char **)g_ptr_array_free(kept, FALSE);
}

static bool
all_addresses(char **list)
{
    for (size_t i = 0; list[i] != NULL; i++) {
        struct ini_address address;

        if (!ini_parse_address(list[i], &address)) {
            return false;
        }
        g_free(address.ip);
    }
    return true;
}

static const char *
parse_choice(const struct ini_key *key, const char *text, uint64_t *out)
{
    for (uint64_t i = 0; key->choices[i] != NULL; i++) {
        if (strcmp(key->choices[i], text) == 0) {
            *out = i;
            return NULL;
        }
    }
    return "is none of the possible values";
}

static bool
parse_fraction(const char *text, uint64_t *out)
{
    char *end;
    double number;

    if (!parse_decimal(text, &end, &number) || *end != '\0' ||
        number > MAX_FRACTION) {
        return false;
    }
    *out = (uint64_t)(number * INI_FRACTION_ONE + 0.5);
    return true;
}

/* Returns NULL or the error message. */
static const char *
parse_scalar(const struct ini_key *key, const char *text, uint64_t *out)
{
    switch (key->kind) {
    case INI_DURATION_MS:
        return ini_parse_duration_ms(text, out)
                   ? NULL
                   : "needs a number with a unit: ms, s, min or h";
    case INI_BYTES:
        return parse_number(text, byte_units, out)
                   ? NULL
                   : "needs a number with a unit: B, KiB, MiB or GiB";
    case INI_COUNT:
        return parse_number(text, plain_units, out)
                   ? NULL
                   : "needs a number without a unit";
    case INI_PERCENT:
        return parse_number(text, percent_units, out)
                   ? NULL
                   : "needs a number with the unit %";
    case INI_FRACTION:
        return parse_fraction(text, out) ? NULL : "needs a decimal number";
    case INI_BOOL:
        *out = strcmp(text, "yes") == 0;
        return *out == 1 || strcmp(text, "no") == 0 ? NULL : "needs yes or no";
    case INI_CHOICE:
        return parse_choice(key, text, out);
    default:
        return "has no number";
    }
}

static const char *
read_scalar(const struct ini_key *key, const char *text, void *field,
            char **detail)
{
    uint64_t number = 0;
    const char *wrong = parse_scalar(key, text, &number);

    if (wrong != NULL) {
        return wrong;
    }
    if (number < key->min || (key->max != 0 && number > key->max)) {
        *detail = g_strdup_printf("is out of range (%" G_GUINT64_FORMAT
                                  " to %" G_GUINT64_FORMAT ")",
                                  key->min, key->max);
        return *detail;
    }
    memcpy(field, &number, sizeof(number));
    return NULL;
}

static const char *
read_value(const struct ini_key *key, const char *text, void *field,
           char **detail)
{
    char *copy;
    char **list;

    switch (key->kind) {
    case INI_NAME:
        if (!is_name(text)) {
            return "needs a name of up to 63 letters, digits, '.', '_', '-'";
        }
        /* fall through */
    case INI_TEXT:
        copy = g_strdup(text);
        memcpy(field, &copy, sizeof(copy));
        return NULL;
    case INI_ADDRESS:
        return ini_parse_address(text, field) ? NULL
                                              : "needs an address: ip:port";
    case INI_ADDRESSES:
    case INI_LIST:
        list = split_list(text);
        memcpy(field, &list, sizeof(char **));
        if (key->kind == INI_ADDRESSES && !all_addresses(list)) {
            return "needs addresses (ip:port) separated by ';'";
        }
        return NULL;
    default:
        return read_scalar(key, text, field, detail);
    }
}

static void
read_key(const struct ini *ini, const char *section, const struct ini_key *key,
         void *out, GPtrArray *errors)
{
    char *text = g_key_file_get_value(ini->keys, section, key->name, NULL);
    const char *wrong;
    char *detail = NULL;

    if (text == NULL && key->default_text == NULL) {
        ini_error(ini, section, key->name, errors, "is missing");
        return;
    }
    if (text == NULL) {
        text = g_strdup(key->default_text);
        if (text[0] == '\0') {
            g_free(text);
            return;
        }
    }
    g_strchomp(text);
    wrong = read_value(key, text, (char *)out + key->offset, &detail);
    if (wrong != NULL) {
        ini_error(ini, section, key->name, errors, "\"%s\" %s", text, wrong);
    }
    g_free(detail);
    g_free(text);
}

static bool
is_known_key(const char *name, const struct ini_key *keys, size_t key_count)
{
    for (size_t i = 0; i < key_count; i++) {
        if (strcmp(keys[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

bool
ini_read(const struct ini *ini, const char *section,
         const struct ini_key *keys, size_t key_count, void *out,
         GPtrArray *errors)
{
    guint before = errors->len;
    char **names = g_key_file_get_keys(ini->keys, section, NULL, NULL);

    for (size_t i = 0; names != NULL && names[i] != NULL; i++) {
        if (!is_known_key(names[i], keys, key_count)) {
            ini_error(ini, section, names[i], errors, "unknown key");
        }
    }
    g_strfreev(names);
    for (size_t i = 0; i < key_count; i++) {
        read_key(ini, section, &keys[i], out, errors);
    }
    return errors->len == before;
}

void
ini_clear(const struct ini_key *keys, size_t key_count, void *out)
{
    for (size_t i = 0; i < key_count; i++) {
        void *field = (char *)out + keys[i].offset;
        char *text;
        char **list;

        switch (keys[i].kind) {
        case INI_NAME:
        case INI_TEXT:
        case INI_ADDRESS: /* ip is the first field */
            memcpy(&text, field, sizeof(text));
            g_free(text);
            break;
        case INI_ADDRESSES:
        case INI_LIST:
            memcpy(&list, field, sizeof(char **));
            g_strfreev(list);
            break;
        default:
            break;
        }
    }
}
