#ifndef IO_VERSION_H
#define IO_VERSION_H

/* The version that all programs print. */
#define DANDELIONFORK_VERSION "0.1.0"

#endif
