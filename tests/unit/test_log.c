/* Tests the lines of the log in both formats, as written on standard error. */

#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

#include "io/log.h"

#define LOG_PART "test"

enum {
    MAX_LINE_BYTES = 4096
};

static int saved_stderr;
static int pipe_ends[2];

static void
begin_capture(void)
{
    saved_stderr = dup(STDERR_FILENO);
    g_assert_cmpint(pipe(pipe_ends), ==, 0);
    dup2(pipe_ends[1], STDERR_FILENO);
}

/* Returns the line that was written. */
static const char *
end_capture(void)
{
    static char line[MAX_LINE_BYTES];
    ssize_t count;

    dup2(saved_stderr, STDERR_FILENO);
    close(saved_stderr);
    close(pipe_ends[1]);
    count = read(pipe_ends[0], line, sizeof(line) - 1);
    close(pipe_ends[0]);
    g_assert_cmpint(count, >, 0);
    line[count] = '\0';
    return line;
}

static const char *
field(const json_t *object, const char *name)
{
    return json_string_value(json_object_get(object, name));
}

/* Values in quotes keep their blanks and quotes. */
static void
test_json_fields(void)
{
    json_t *object;

    log_configure(LOG_INFO, LOG_JSON, LOG_STDERR);
    begin_capture();
    LOG_INFO("link down",
             "why=\"left the list\" error=\"no \"such\" file\" empty=\"\" "
             "pool=%s count=%d last=x=y",
             "a b", 3);
    object = json_loads(end_capture(), 0, NULL);
    g_assert_true(json_is_object(object));
    g_assert_cmpstr(field(object, "event"), ==, "link down");
    g_assert_cmpstr(field(object, "part"), ==, "test");
    g_assert_cmpstr(field(object, "why"), ==, "left the list");
    g_assert_cmpstr(field(object, "error"), ==, "no \"such\" file");
    g_assert_cmpstr(field(object, "empty"), ==, "");
    g_assert_cmpstr(field(object, "pool"), ==, "a");
    g_assert_cmpstr(field(object, "last"), ==, "x=y");
    json_decref(object);
}

static void
test_text_fields(void)
{
    const char *line;

    log_configure(LOG_INFO, LOG_TEXT, LOG_STDERR);
    begin_capture();
    LOG_INFO("link down", "why=\"%s\" count=%d", "left the list", 3);
    line = end_capture();
    g_assert_true(g_str_has_suffix(
        line, " info test: link down why=\"left the list\" count=3\n"));
}

/* Guards against values from other processes that add lines to the log. */
static void
test_control_bytes(void)
{
    const char *line;

    log_configure(LOG_INFO, LOG_TEXT, LOG_STDERR);
    begin_capture();
    LOG_INFO("refused", "key=%s", "a\r\nb\x7f\x1b");
    line = end_capture();
    g_assert_true(g_str_has_suffix(line, " info test: refused key=a??b??\n"));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/log/json-fields", test_json_fields);
    g_test_add_func("/log/text-fields", test_text_fields);
    g_test_add_func("/log/control-bytes", test_control_bytes);
    return g_test_run();
}
