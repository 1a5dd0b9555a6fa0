#include "io/log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static enum log_level max_level = LOG_INFO;
static enum log_format line_format = LOG_TEXT;

static int output_fd = STDERR_FILENO;

/* Lines in the current second, and lines dropped since their number was last
   written. rate_lock guards all three. */
static pthread_mutex_t rate_lock = PTHREAD_MUTEX_INITIALIZER;
static gint64 rate_second;
static uint32_t rate_lines;
static uint64_t dropped_lines;

static const char *const level_names[] = {"error", "warning", "info", "debug"};

void
log_configure(enum log_level level, enum log_format format,
              enum log_output output)
{
    int flags;

    max_level = level;
    line_format = format;
    if (output == LOG_STDOUT) {
        output_fd = STDOUT_FILENO;
        flags = fcntl(output_fd, F_GETFL);
        /* Without O_NONBLOCK a full pipe would block the thread. The other
           flags are kept: without O_APPEND, a file that others append to
           would lose lines. */
        if (flags < 0 || fcntl(output_fd, F_SETFL, flags | O_NONBLOCK) != 0) {
            output_fd = STDERR_FILENO;
        }
    }
}

/* Counts a line. Returns whether it may be written. */
static bool
within_rate_limit(gint64 second)
{
    bool within;

    pthread_mutex_lock(&rate_lock);
    if (second != rate_second) {
        rate_second = second;
        rate_lines = 0;
    }
    within = rate_lines < LOG_MAX_LINES_PER_S;
    rate_lines++;
    if (!within) {
        dropped_lines++;
    }
    pthread_mutex_unlock(&rate_lock);
    return within;
}

static void
count_dropped_line(void)
{
    pthread_mutex_lock(&rate_lock);
    dropped_lines++;
    pthread_mutex_unlock(&rate_lock);
}

static uint64_t
reset_dropped_lines(void)
{
    uint64_t dropped;

    pthread_mutex_lock(&rate_lock);
    dropped = dropped_lines;
    dropped_lines = 0;
    pthread_mutex_unlock(&rate_lock);
    return dropped;
}

bool
log_enabled(enum log_level level)
{
    return level <= max_level;
}

/* Whether a quote ends a value: the end of the line or another field follows.
   Texts of errors may have quotes of their own. */
static bool
ends_value(const char *quote)
{
    static const char key_characters[] = "abcdefghijklmnopqrstuvwxyz_";
    size_t key_length;

    if (quote[0] != '"' || quote[1] == '\0') {
        return quote[0] == '"';
    }
    key_length = strspn(quote + 2, key_characters);
    return quote[1] == ' ' && key_length > 0 && quote[2 + key_length] == '=';
}

/* Reads the next key=value of the fields, whose value may be in quotes, and
   adds it to the object. Returns what follows it. */
static const char *
add_field(json_t *object, const char *fields)
{
    const char *equals = strchr(fields, '=');
    const char *value;
    const char *end;
    char *key;

    if (equals == NULL) {
        return fields + strlen(fields);
    }
    value = equals + 1;
    if (value[0] == '"') {
        value++;
        end = value;
        while (end[0] != '\0' && !ends_value(end)) {
            end++;
        }
    }
    else {
        end = value + strcspn(value, " ");
    }
    key = g_strndup(fields, (gsize)(equals - fields));
    json_object_set_new(object, key,
                        json_stringn(value, (size_t)(end - value)));
    g_free(key);
    end += end[0] == '"' ? 1 : 0;
    return end + strspn(end, " ");
}

static char *
json_line(enum log_level level, const char *part, const char *event,
          const char *fields, const char *when)
{
    json_t *object = json_object();
    char *line;

    json_object_set_new(object, "time", json_string(when));
    json_object_set_new(object, "level", json_string(level_names[level]));
    json_object_set_new(object, "part", json_string(part));
    json_object_set_new(object, "event", json_string(event));
    while (fields[0] != '\0') {
        fields = add_field(object, fields);
    }
    line = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    return line;
}

/* Writes a line by a single write(), so that lines of several threads don't
   mix. */
static void
write_line(const char *line)
{
    uint64_t dropped = reset_dropped_lines();

    if (dropped > 0) {
        char *note = g_strdup_printf(
            "log: lines lost count=%" G_GUINT64_FORMAT "\n%s", dropped, line);

        if (write(output_fd, note, strlen(note)) < 0) {
            count_dropped_line();
        }
        g_free(note);
        return;
    }
    if (write(output_fd, line, strlen(line)) < 0) {
        count_dropped_line();
    }
}

/* Values may come from other processes: an event stays one line. */
static void
replace_control_bytes(char *text)
{
    for (; *text != '\0'; text++) {
        if (g_ascii_iscntrl(*text)) {
            *text = '?';
        }
    }
}

void
log_write(enum log_level level, const char *part, const char *event,
          const char *fields, ...)
{
    va_list args;
    char *text;
    char *line;
    GDateTime *now;
    char *when;

    if (!log_enabled(level) ||
        !within_rate_limit(g_get_monotonic_time() / G_USEC_PER_SEC)) {
        return;
    }
    va_start(args, fields);
    text = g_strdup_vprintf(fields, args);
    va_end(args);
    replace_control_bytes(text);
    now = g_date_time_new_now_utc();
    when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
    if (line_format == LOG_JSON) {
        char *json = json_line(level, part, event, text, when);

        line = g_strconcat(json, "\n", NULL);
        free(json);
    }
    else {
        line = g_strdup_printf("%s %s %s: %s%s%s\n", when, level_names[level],
                               part, event, text[0] != '\0' ? " " : "", text);
    }
    write_line(line);
    g_free(line);
    g_free(when);
    g_date_time_unref(now);
    g_free(text);
}
