#ifndef OPERATOR_EDIT_H
#define OPERATOR_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "operator/options.h"

/* The operator's edited files. */

struct edit {
    char *routes; /* texts as they are in the files */
    char *pools;
    bool has_base;
    uint64_t base; /* given, or "# generation = N" in the routes file */
    struct tables *tables;
};

/* Reads and validates both files, with all errors on standard error. */
enum operator_exit edit_read(const struct options *options, struct edit *out);
void edit_clear(struct edit *edit);

/* Validates tables as a whole; the errors go to standard error. */
bool edit_validate(const char *routes, const char *routes_file,
                   const char *pools, const char *pools_file);

/* Writes the generation into the headers of files that have one. */
void edit_update_headers(const struct options *options, uint64_t generation);

#endif
