#ifndef IO_VERSION_H
#define IO_VERSION_H

/* Which build a program is of: its version, the commit, and a digest of the
   sources. The commit is "unknown" for a build without git, and does not tell
   changes that are not committed; cmake -P cmake/build_id.cmake prints both
   for a checkout. */

/* On standard output, for --version. */
void version_print(const char *program);

/* As the first line of a program's log. */
void version_log(const char *program);

#endif
