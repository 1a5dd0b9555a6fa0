#include "io/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static enum log_level max_level = LOG_INFO;
static enum log_format line_format = LOG_TEXT;

static const char *const level_names[] = {"error", "warning", "info", "debug"};

void
log_configure(enum log_level level, enum log_format format)
{
    max_level = level;
    line_format = format;
}

bool
log_enabled(enum log_level level)
{
    return level <= max_level;
}

static char *
json_line(enum log_level level, const char *part, const char *event,
          const char *fields, const char *when)
{
    json_t *object = json_object();
    char **pairs = g_strsplit(fields, " ", -1);
    char *line;

    json_object_set_new(object, "time", json_string(when));
    json_object_set_new(object, "level", json_string(level_names[level]));
    json_object_set_new(object, "part", json_string(part));
    json_object_set_new(object, "event", json_string(event));
    for (size_t i = 0; pairs[i] != NULL; i++) {
        char *equals = strchr(pairs[i], '=');

        if (equals != NULL) {
            *equals = '\0';
            json_object_set_new(object, pairs[i], json_string(equals + 1));
        }
    }
    line = json_dumps(object, JSON_COMPACT);
    g_strfreev(pairs);
    json_decref(object);
    return line;
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

    if (!log_enabled(level)) {
        return;
    }
    va_start(args, fields);
    text = g_strdup_vprintf(fields, args);
    va_end(args);
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
    /* One write a line, so that lines of several threads don't mix. */
    if (write(STDERR_FILENO, line, strlen(line)) < 0) {
        max_level = LOG_ERROR;
    }
    g_free(line);
    g_free(when);
    g_date_time_unref(now);
    g_free(text);
}
