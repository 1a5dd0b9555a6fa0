#include "gateway/config_copy.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>
#include <unistd.h>

#include "core/byte_patch.h"
#include "core/catalog.h"
#include "core/flat_items.h"
#include "core/store_revision.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/store_items.h"
#include "platform/config_reader.h"

#define LOG_PART "config"

enum {
    /* A receiver that missed more versions gets the whole item. */
    MAX_PATCHES = 64,
    /* Patches are kept up to this part of the item's length. */
    PATCHES_SHARE = 2,
    /* Whole items that wait for a job. Older ones are dropped; they would only
       be used if all newer ones could not be decoded. */
    MAX_WAITING = 8,
    /* Pauses of one job, all together: a version has to be in force two
       seconds after the store has it, the shortest time that users require. */
    MAX_PAUSED_MS = 800,
    NS_PER_MS = 1000000,
    MS_PER_S = 1000,
    US_PER_MS = 1000,
};

/* A change of the item from one revision to the next. */
struct patch {
    uint64_t base;
    uint64_t revision;
    GBytes *bytes;
};

/* An item of a job: whole or patches. */
struct step {
    uint64_t revision;
    GBytes *whole; /* NULL: patches is set */
    GBytes *patches;
};

struct job {
    struct config_copy *copy;
    GPtrArray *steps; /* struct step, ascending revisions */
    /* Results */
    struct config_result result;
    GBytes *bytes;
    GPtrArray *made; /* struct patch, to the new item; NULL: none */
};

struct config_copy {
    struct loop *loop;
    uint32_t pause_ms;
    void (*finished)(void *data, const struct config_result *result);
    void *data;
    struct job *running; /* or NULL */
    GPtrArray *waiting;  /* struct step */
    uint64_t added_revision;
    uint64_t added_confirmed_ms;
    GBytes *bytes;
    uint64_t revision;
    GPtrArray *patches;    /* struct patch, each based on the one before */
    pthread_mutex_t mutex; /* guards the next field */
    struct job *next_job;  /* for the thread, or NULL */
    pthread_cond_t job_added;
    /* Used by the running job only. */
    struct config_reader *reader;
    uint32_t paused_ms;
    uint64_t worked_ns; /* processor time of the thread at its last pause */
};

static void
free_patch(gpointer data)
{
    struct patch *patch = data;

    g_bytes_unref(patch->bytes);
    g_free(patch);
}

static void
free_step(gpointer data)
{
    struct step *step = data;

    g_clear_pointer(&step->whole, g_bytes_unref);
    g_clear_pointer(&step->patches, g_bytes_unref);
    g_free(step);
}

static GPtrArray *
create_patches(void)
{
    return g_ptr_array_new_with_free_func(free_patch);
}

static GPtrArray *
create_steps(void)
{
    return g_ptr_array_new_with_free_func(free_step);
}

static void
free_job(struct job *job)
{
    g_ptr_array_free(job->steps, TRUE);
    catalog_unref(job->result.catalog);
    g_clear_pointer(&job->bytes, g_bytes_unref);
    if (job->made != NULL) {
        g_ptr_array_free(job->made, TRUE);
    }
    g_free(job);
}

/* On the job's thread. */

static uint64_t
thread_cpu_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (uint64_t)time.tv_sec * MS_PER_S * NS_PER_MS +
           (uint64_t)time.tv_nsec;
}

/* Called by the reader between two entries. */
static void
pause_job(void *data)
{
    struct config_copy *copy = data;

    if (copy->paused_ms < MAX_PAUSED_MS &&
        thread_cpu_ns() - copy->worked_ns >= NS_PER_MS) {
        usleep(copy->pause_ms * US_PER_MS);
        copy->paused_ms += copy->pause_ms;
        copy->worked_ns = thread_cpu_ns();
    }
}

static void
add_patch(GPtrArray *patches, uint64_t base, uint64_t revision, GBytes *bytes)
{
    struct patch *patch = g_new(struct patch, 1);

    *patch = (struct patch){
        .base = base, .revision = revision, .bytes = g_bytes_ref(bytes)};
    g_ptr_array_add(patches, patch);
}

/* Applies the patches that follow *revision. Returns false if one is invalid,
   or none leads from there to the step's revision. */
static bool
apply_patches(const struct step *step, GBytes **bytes, uint64_t *revision,
              GPtrArray *made)
{
    struct flat_items_reader reader = {0};

    reader.bytes = g_bytes_get_data(step->patches, &reader.count);
    while (!flat_items_at_end(&reader)) {
        uint64_t base = flat_items_read_number(&reader);
        uint64_t next = flat_items_read_number(&reader);
        size_t count;
        const uint8_t *patch = flat_items_read_bytes(&reader, &count);
        GBytes *result = NULL;
        GBytes *kept;

        if (reader.failed) {
            return false;
        }
        if (*bytes == NULL || base != *revision || next <= base) {
            continue;
        }
        result = byte_patch_apply(*bytes, patch, count);
        if (result == NULL) {
            return false;
        }
        kept = g_bytes_new(patch, count);
        add_patch(made, base, next, kept);
        g_bytes_unref(kept);
        g_bytes_unref(*bytes);
        *bytes = result;
        *revision = next;
    }
    return !reader.failed && *revision == step->revision;
}

/* Sets bytes and revision, of which the reference is replaced, to the item of
   a step. */
static bool
apply_step(const struct step *step, GBytes **bytes, uint64_t *revision,
           GPtrArray *made)
{
    if (step->whole == NULL) {
        return apply_patches(step, bytes, revision, made);
    }
    g_clear_pointer(bytes, g_bytes_unref);
    *bytes = g_bytes_ref(step->whole);
    *revision = step->revision;
    g_ptr_array_set_size(made, 0);
    return true;
}

/* Decodes the item of each step, in order; the last valid one counts. */
static void
decode_each_step(struct job *job)
{
    const struct config_copy *copy = job->copy;
    GPtrArray *made = create_patches();
    GBytes *bytes = copy->bytes != NULL ? g_bytes_ref(copy->bytes) : NULL;
    uint64_t revision = copy->revision;
    const char *why;

    for (guint i = 0; i < job->steps->len; i++) {
        struct catalog *catalog = NULL;

        if (apply_step(g_ptr_array_index(job->steps, i), &bytes, &revision,
                       made)) {
            catalog = config_reader_decode(copy->reader, bytes, &why);
        }
        if (catalog != NULL) {
            catalog_unref(job->result.catalog);
            job->result.catalog = catalog;
        }
    }
    g_clear_pointer(&bytes, g_bytes_unref);
    g_ptr_array_free(made, TRUE);
}

/* Steps up to the last whole item, which those after it are based on; 0: all
   are patches. */
static guint
steps_up_to_whole(const GPtrArray *steps)
{
    for (guint i = steps->len; i > 0; i--) {
        const struct step *step = g_ptr_array_index(steps, i - 1);

        if (step->whole != NULL) {
            return i;
        }
    }
    return 0;
}

/* A whole item replaces the former one: makes the patch for other gateways. */
static void
make_patch(struct job *job)
{
    const struct config_copy *copy = job->copy;
    GByteArray *patch;
    GBytes *bytes;

    if (job->made->len > 0 || copy->bytes == NULL) {
        return;
    }
    patch = byte_patch_create(copy->bytes, job->bytes);
    bytes = g_byte_array_free_to_bytes(patch);
    add_patch(job->made, copy->revision, job->result.revision, bytes);
    g_bytes_unref(bytes);
}

static void
run_job(struct job *job)
{
    struct config_copy *copy = job->copy;
    uint64_t revision = copy->revision;
    bool ok = true;

    copy->worked_ns = thread_cpu_ns();
    copy->paused_ms = 0;
    job->made = create_patches();
    job->bytes = copy->bytes != NULL ? g_bytes_ref(copy->bytes) : NULL;
    for (guint i = MAX(steps_up_to_whole(job->steps), 1) - 1;
         ok && i < job->steps->len; i++) {
        ok = apply_step(g_ptr_array_index(job->steps, i), &job->bytes,
                        &revision, job->made);
    }
    job->result.failed = !ok;
    if (ok) {
        job->result.catalog =
            config_reader_decode(copy->reader, job->bytes, &job->result.why);
        make_patch(job);
    }
    if (job->result.catalog != NULL) {
        job->result.why = NULL;
    }
    else if (job->steps->len > 1) {
        decode_each_step(job);
    }
}

/* On the loop thread. */

static void
clear_patches(struct config_copy *copy)
{
    g_ptr_array_set_size(copy->patches, 0);
}

static size_t
patches_size(const struct config_copy *copy, guint from)
{
    size_t size = 0;

    for (guint i = from; i < copy->patches->len; i++) {
        const struct patch *patch = g_ptr_array_index(copy->patches, i);

        size += g_bytes_get_size(patch->bytes);
    }
    return size;
}

/* Appends the patches of a job and drops old ones. */
static void
keep_patches(struct config_copy *copy, const GPtrArray *made)
{
    size_t max_bytes = g_bytes_get_size(copy->bytes) / PATCHES_SHARE;

    for (guint i = 0; i < made->len; i++) {
        const struct patch *patch = g_ptr_array_index(made, i);

        add_patch(copy->patches, patch->base, patch->revision, patch->bytes);
    }
    if (made->len == 0) {
        clear_patches(copy);
    }
    while (copy->patches->len > MAX_PATCHES ||
           (copy->patches->len > 0 && patches_size(copy, 0) > max_bytes)) {
        g_ptr_array_remove_index(copy->patches, 0);
    }
}

static void
finish_job(void *data, uint64_t now_ms)
{
    struct job *job = data;
    struct config_copy *copy = job->copy;

    (void)now_ms;
    copy->running = NULL;
    if (job->result.failed) {
        LOG_WARN("the configuration can't be patched", "revision=%s have=%s",
                 store_revision_text(job->result.revision).text,
                 store_revision_text(copy->revision).text);
        job->result.failed = steps_up_to_whole(copy->waiting) == 0;
        job->result.confirmed_ms = 0;
    }
    else {
        g_clear_pointer(&copy->bytes, g_bytes_unref);
        copy->bytes = g_bytes_ref(job->bytes);
        copy->revision = job->result.revision;
        keep_patches(copy, job->made);
    }
    if (job->result.failed) {
        /* What waits is based on it. */
        g_ptr_array_set_size(copy->waiting, 0);
        copy->added_revision = copy->revision;
    }
    config_copy_start(copy);
    copy->finished(copy->data, &job->result);
    free_job(job);
}

static void *
run_jobs(void *data)
{
    struct config_copy *copy = data;

    for (;;) {
        struct job *job;

        pthread_mutex_lock(&copy->mutex);
        while (copy->next_job == NULL) {
            pthread_cond_wait(&copy->job_added, &copy->mutex);
        }
        job = g_steal_pointer(&copy->next_job);
        pthread_mutex_unlock(&copy->mutex);
        run_job(job);
        loop_post(copy->loop, finish_job, job);
    }
    return NULL;
}

/* The thread runs until the process ends. */
static void
start_thread(struct config_copy *copy)
{
    pthread_t thread;

    pthread_mutex_init(&copy->mutex, NULL);
    pthread_cond_init(&copy->job_added, NULL);
    if (pthread_create(&thread, NULL, run_jobs, copy) != 0) {
        g_error("can't start a thread for the configuration");
    }
    pthread_detach(thread);
}

struct config_copy *
config_copy_create(const struct config_copy_settings *settings,
                   void (*finished)(void *data,
                                    const struct config_result *result),
                   void *data)
{
    struct config_copy *copy = g_new0(struct config_copy, 1);

    copy->loop = settings->loop;
    copy->pause_ms = settings->pause_ms;
    copy->finished = finished;
    copy->data = data;
    copy->waiting = create_steps();
    copy->patches = create_patches();
    copy->reader = config_reader_create();
    if (copy->loop != NULL) {
        start_thread(copy);
    }
    return copy;
}

void
config_copy_destroy(struct config_copy *copy)
{
    if (copy == NULL) {
        return;
    }
    g_ptr_array_free(copy->waiting, TRUE);
    g_ptr_array_free(copy->patches, TRUE);
    config_reader_destroy(copy->reader);
    g_clear_pointer(&copy->bytes, g_bytes_unref);
    g_free(copy);
}

void
config_copy_add(struct config_copy *copy, const struct store_item *item,
                uint64_t confirmed_ms)
{
    struct step *step = g_new0(struct step, 1);
    GBytes *bytes = g_bytes_new(item->bytes, item->count);

    step->revision = item->revision;
    if (item->is_patch) {
        step->patches = bytes;
    }
    else {
        step->whole = bytes;
    }
    g_ptr_array_add(copy->waiting, step);
    if (steps_up_to_whole(copy->waiting) > MAX_WAITING) {
        g_ptr_array_remove_index(copy->waiting, 0);
    }
    copy->added_revision = item->revision;
    copy->added_confirmed_ms = confirmed_ms;
}

void
config_copy_start(struct config_copy *copy)
{
    struct job *job;

    if (copy->running != NULL || copy->waiting->len == 0) {
        return;
    }
    job = g_new0(struct job, 1);
    job->copy = copy;
    job->steps = copy->waiting;
    job->result.revision = copy->added_revision;
    job->result.confirmed_ms = copy->added_confirmed_ms;
    copy->waiting = create_steps();
    copy->running = job;
    config_reader_set_pause(
        copy->reader,
        copy->pause_ms > 0 && copy->bytes != NULL ? pause_job : NULL, copy);
    if (copy->loop == NULL) {
        run_job(job);
        finish_job(job, 0);
        return;
    }
    pthread_mutex_lock(&copy->mutex);
    copy->next_job = job;
    pthread_cond_signal(&copy->job_added);
    pthread_mutex_unlock(&copy->mutex);
}

bool
config_copy_is_pending(const struct config_copy *copy)
{
    return copy->running != NULL || copy->waiting->len > 0;
}

uint64_t
config_copy_added_revision(const struct config_copy *copy)
{
    return copy->added_revision;
}

GBytes *
config_copy_bytes(const struct config_copy *copy)
{
    return copy->bytes;
}

uint64_t
config_copy_revision(const struct config_copy *copy)
{
    return copy->revision;
}

GByteArray *
config_copy_patches(const struct config_copy *copy, uint64_t base)
{
    GByteArray *out;
    guint first = 0;

    while (first < copy->patches->len &&
           ((struct patch *)g_ptr_array_index(copy->patches, first))->base !=
               base) {
        first++;
    }
    if (base == 0 || first == copy->patches->len) {
        return NULL;
    }
    out = g_byte_array_new();
    for (guint i = first; i < copy->patches->len; i++) {
        const struct patch *patch = g_ptr_array_index(copy->patches, i);
        gsize count;
        const uint8_t *bytes = g_bytes_get_data(patch->bytes, &count);

        flat_items_add_number(out, patch->base);
        flat_items_add_number(out, patch->revision);
        flat_items_add_bytes(out, bytes, count);
    }
    return out;
}
