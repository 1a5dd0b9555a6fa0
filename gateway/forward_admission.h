#ifndef GATEWAY_FORWARD_ADMISSION_H
#define GATEWAY_FORWARD_ADMISSION_H

#include <stdbool.h>

/* Admission of a request by the gateway's configuration, see
   core/admission.h. Loop thread only. */

struct admission_config;
struct forward;

/* The configuration that the request is decided by, with its present age. */
struct admission_config
forward_admission_config(const struct forward *forward);

/* Finds the request's route, client account and service. Returns false if the
   request was refused, and answered. */
bool forward_admission_check(struct forward *forward);

#endif
