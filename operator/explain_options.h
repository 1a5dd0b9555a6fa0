#ifndef OPERATOR_EXPLAIN_OPTIONS_H
#define OPERATOR_EXPLAIN_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

/* Parses the options of `dandelionfork explain`. */

struct explain_options {
    GArray *gateways; /* struct ini_address, of their metrics; at least one */
    bool all;
    bool json;
    char *query; /* the question, encoded for the target of a request */
};

/* argv[0] is the command's name. Returns true if there is a question to ask;
   free it with explain_options_clear(). Otherwise the help or an error was
   printed, and *is_error tells which. */
bool explain_options_parse(int argc, char **argv, struct explain_options *out,
                           bool *is_error);
void explain_options_clear(struct explain_options *options);

#endif
