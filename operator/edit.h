#ifndef OPERATOR_EDIT_H
#define OPERATOR_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "operator/options.h"

/* The two table files that the operator has edited: routes and pools. */

struct edit {
    char *routes; /* contents of the routes file */
    char *pools;  /* contents of the pools file */
    bool has_base;
    /* Generation that was edited: --base, or else "# generation = N" in the
       routes file. */
    uint64_t base;
    struct tables *tables; /* both files, parsed; NULL after an error */
};

/* Reads and validates both files. Prints all errors to standard error. Returns
   OPERATOR_USAGE if a file can't be read and OPERATOR_REFUSED if the tables
   are invalid. Free the contents of out with edit_clear(), also after an
   error. */
enum operator_exit edit_read(const struct options *options, struct edit *out);
void edit_clear(struct edit *edit);

/* Validates two INI texts as one configuration. Prints all errors to standard
   error; the names routes_file and pools_file are only for these. */
bool edit_validate(const char *routes, const char *routes_file,
                   const char *pools, const char *pools_file);

/* Replaces N by the generation in the lines "# generation = N" of both files.
   A file without such a line stays unchanged. Prints errors to standard
   error. */
void edit_update_headers(const struct options *options, uint64_t generation);

#endif
