/* Runs a script that checks the syntax of messages, and prints what is valid
   of each. A script has one command per line; TEXT is the rest of the line,
   with \r, \n, \t and octal escapes as in C:

     check TEXT   prints how many bytes are valid, and whether a head ends
   there scan TEXT    prints which bytes are valid in place of the @ in the
   text

   Each text is checked in one piece and byte by byte. Lines that begin with #
   are comments. */

#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/message_syntax.h"
#include "tests/script.h"

enum {
    BYTES = 256,
};

/* What the texts are. */
enum kind {
    KIND_RESPONSES,
    KIND_REQUESTS,
    KIND_CHUNKS,
};

static const char *const result_texts[] = {
    [MESSAGE_SYNTAX_VALID] = "valid",
    [MESSAGE_SYNTAX_END] = "end",
    [MESSAGE_SYNTAX_INVALID] = "invalid",
};

/* Returns the last result, and the number of valid bytes up to there. */
static enum message_syntax_result
check_in_pieces(const GString *text, enum kind kind, size_t piece_bytes,
                size_t *total)
{
    struct message_syntax *syntax =
        message_syntax_create(kind != KIND_REQUESTS);
    enum message_syntax_result result = MESSAGE_SYNTAX_VALID;

    if (kind == KIND_CHUNKS) {
        message_syntax_begin_chunks(syntax);
    }
    *total = 0;
    while (*total < text->len && result == MESSAGE_SYNTAX_VALID) {
        size_t valid;

        result =
            message_syntax_check(syntax, text->str + *total,
                                 MIN(piece_bytes, text->len - *total), &valid);
        *total += valid;
    }
    message_syntax_destroy(syntax);
    return result;
}

static enum message_syntax_result
check(const GString *text, enum kind kind, size_t *valid)
{
    size_t valid_in_pieces;
    enum message_syntax_result result =
        check_in_pieces(text, kind, text->len, valid);

    if (check_in_pieces(text, kind, 1, &valid_in_pieces) != result ||
        valid_in_pieces != *valid) {
        script_error("another result byte by byte");
    }
    return result;
}

static void
print_check(const GString *text, enum kind kind, const char *escaped)
{
    size_t valid;
    enum message_syntax_result result = check(text, kind, &valid);

    printf("%s at %zu of %zu: %s\n", result_texts[result], valid, text->len,
           escaped);
}

static bool
is_valid_with(GString *text, enum kind kind, size_t at, int byte)
{
    size_t valid;

    text->str[at] = (char)byte;
    return check(text, kind, &valid) != MESSAGE_SYNTAX_INVALID;
}

/* Prints the valid bytes as ranges of hexadecimal numbers. */
static void
print_scan(GString *text, enum kind kind, const char *escaped)
{
    const char *mark = strchr(text->str, '@');
    size_t at;

    if (mark == NULL) {
        script_error("no @");
    }
    at = (size_t)(mark - text->str);
    printf("valid:");
    for (int first = 0; first < BYTES; first++) {
        int last = first;

        if (!is_valid_with(text, kind, at, first)) {
            continue;
        }
        while (last + 1 < BYTES && is_valid_with(text, kind, at, last + 1)) {
            last++;
        }
        printf(first < last ? " %02x-%02x" : " %02x", (unsigned)first,
               (unsigned)last);
        first = last;
    }
    printf(": %s\n", escaped);
}

static void
run_line(void *data, char *const *words)
{
    enum kind *kind = data;
    char *escaped = g_strjoinv(" ", (char **)words + 1);
    char *plain = g_strcompress(escaped);
    GString *text = g_string_new(plain);

    if (strcmp(words[0], "requests") == 0) {
        *kind = KIND_REQUESTS;
    }
    else if (strcmp(words[0], "chunks") == 0) {
        *kind = KIND_CHUNKS;
    }
    else if (strcmp(words[0], "check") == 0) {
        print_check(text, *kind, escaped);
    }
    else if (strcmp(words[0], "scan") == 0) {
        print_scan(text, *kind, escaped);
    }
    else {
        script_error(words[0]);
    }
    g_string_free(text, TRUE);
    g_free(plain);
    g_free(escaped);
}

int
main(int argc, char **argv)
{
    enum kind kind = KIND_RESPONSES;

    script_run(argc, argv, run_line, &kind);
    return EXIT_SUCCESS;
}
