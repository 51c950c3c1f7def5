/**
 * DOC: machine_list - reads the platform's list of machines
 *
 * Reads the pages of one list after the other.  A list is delivered only if
 * each of its pages was read.  All functions are called from one thread.
 */
#ifndef RST_MACHINE_LIST_H
#define RST_MACHINE_LIST_H

#include "cell/backend.h"
#include "rosemarystile.h"

struct rst_machine_list;

/**
 * struct rst_machine_list_config - Configuration of a reader.
 * @backend: Its calls; callbacks must arrive on the reader's thread.
 * @now: Returns monotonic time.
 * @on_list: Receives a complete list, whose first page was requested at
 *   @requested_at; @machines has elements of type struct rst_machine and is
 *   valid during the call.
 * @userdata: Passed to @on_list.
 */
struct rst_machine_list_config
{
  const struct rst_backend *backend;
  rst_ms (*now) (void);
  void (*on_list) (void *userdata, const GArray *machines,
                   rst_ms requested_at);
  void *userdata;
};

/** rst_machine_list_create() - Creates a reader. */
struct rst_machine_list *
rst_machine_list_create (const struct rst_machine_list_config *config);

/** rst_machine_list_destroy() - Frees a reader, once its pending call has been
    answered; NULL is ignored. */
void rst_machine_list_destroy (struct rst_machine_list *list);

/** rst_machine_list_request() - Begins to read a list unless one is being
    read. */
void rst_machine_list_request (struct rst_machine_list *list);

#endif
