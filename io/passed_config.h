#ifndef IO_PASSED_CONFIG_H
#define IO_PASSED_CONFIG_H

#include <stdbool.h>

/* Messages by which processes send each other the configuration. */

struct config;
struct message;

/* Publishes a received configuration if its generation is higher than that in
   force. source names the sender in the log. Returns whether the configuration
   was published. */
bool passed_config_take(const struct message *message, const char *source);

/* Fills a message with a configuration. Returns false if config is NULL. The
   message borrows its data from config. */
bool passed_config_fill(const struct config *config, struct message *out);

#endif
