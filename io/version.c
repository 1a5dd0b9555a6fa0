#include "io/version.h"

#include <stdio.h>

#include "build_id.h"
#include "io/log.h"

#define LOG_PART "version"

#define VERSION "0.1.0"

void
version_print(const char *program)
{
    printf("%s %s (commit %s, sources %s)\n", program, VERSION, BUILD_COMMIT,
           BUILD_SOURCES);
}

void
version_log(const char *program)
{
    LOG_INFO("starts", "program=%s version=%s commit=%s sources=%s", program,
             VERSION, BUILD_COMMIT, BUILD_SOURCES);
}
