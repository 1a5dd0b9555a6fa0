#ifndef IO_PASSED_CONFIG_H
#define IO_PASSED_CONFIG_H

#include <stdbool.h>

/* The configuration as processes pass it to each other. */

struct config;
struct message;

/* Publishes a passed configuration if its generation is higher than what is
   in force. source is for the log. Returns whether it is now in force. */
bool passed_config_take(const struct message *message, const char *source);

/* Fills a message with a configuration; false if there is none (NULL). The
   data borrows from it. */
bool passed_config_fill(const struct config *config, struct message *out);

#endif
