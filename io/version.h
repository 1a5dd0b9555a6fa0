#ifndef IO_VERSION_H
#define IO_VERSION_H

/* Printed by --version of all programs. */
#define DANDELIONFORK_VERSION "0.1.0"

#endif
