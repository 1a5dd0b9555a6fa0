/* Prints the JSON value of the platform's key dandelionfork/head, made from a
   generation and the files with the routes and pools. */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

int
main(int argc, char **argv)
{
    char *routes;
    char *pools;
    json_t *head;

    if (argc != 4 || !g_file_get_contents(argv[2], &routes, NULL, NULL) ||
        !g_file_get_contents(argv[3], &pools, NULL, NULL)) {
        fprintf(stderr, "usage: make_head GENERATION ROUTES POOLS\n");
        return EXIT_FAILURE;
    }
    head = json_pack("{s:I, s:s, s:s, s:s}", "generation",
                     (json_int_t)g_ascii_strtoull(argv[1], NULL, 10), "change",
                     "test", "routes", routes, "pools", pools);
    if (json_dumpf(head, stdout, JSON_COMPACT) != 0) {
        return EXIT_FAILURE;
    }
    json_decref(head);
    g_free(routes);
    g_free(pools);
    return EXIT_SUCCESS;
}
