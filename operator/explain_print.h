#ifndef OPERATOR_EXPLAIN_PRINT_H
#define OPERATOR_EXPLAIN_PRINT_H

#include <jansson.h>

/* Prints a gateway's answer as text to standard output; fields that are
   missing are left out. */
void explain_print(const char *address, const json_t *answer);

#endif
