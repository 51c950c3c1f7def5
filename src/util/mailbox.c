#include "util/mailbox.h"

#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <unistd.h>

#include <ck_ring.h>

#include "util/os.h"

#if defined(__SANITIZE_THREAD__)
/* ThreadSanitizer does not recognize the memory ordering of the ring's inline
   assembly; these annotations declare it. */
void __tsan_acquire (void *address);
void __tsan_release (void *address);
#else
#define __tsan_acquire(address) ((void)(address))
#define __tsan_release(address) ((void)(address))
#endif

struct rst_mailbox
{
  ck_ring_t ring;
  ck_ring_buffer_t *buffer;
  int fd;
  atomic_bool closed;
  /* Whether the descriptor was made readable since the reader last cleared
     it; further items then need no system call. */
  atomic_bool signalled;
};

struct rst_mailbox *
rst_mailbox_create (unsigned size)
{
  struct rst_mailbox *mailbox = calloc (1, sizeof *mailbox);

  if (mailbox == NULL)
    return NULL;
  mailbox->fd = rst_os_event_create ();
  mailbox->buffer = calloc (size, sizeof *mailbox->buffer);
  if (mailbox->fd < 0 || mailbox->buffer == NULL)
    {
      rst_mailbox_destroy (mailbox);
      return NULL;
    }
  ck_ring_init (&mailbox->ring, size);
  return mailbox;
}

void
rst_mailbox_destroy (struct rst_mailbox *mailbox)
{
  if (mailbox == NULL)
    return;
  if (mailbox->fd >= 0)
    close (mailbox->fd);
  free (mailbox->buffer);
  free (mailbox);
}

bool
rst_mailbox_post (struct rst_mailbox *mailbox, void *item)
{
  if (atomic_load (&mailbox->closed))
    return false;
  __tsan_release (mailbox);
  if (!ck_ring_enqueue_mpsc (&mailbox->ring, mailbox->buffer, item))
    return false;
  if (!atomic_exchange (&mailbox->signalled, true))
    rst_os_event_signal (mailbox->fd);
  return true;
}

void *
rst_mailbox_take (struct rst_mailbox *mailbox)
{
  void *item = NULL;

  if (!ck_ring_dequeue_mpsc (&mailbox->ring, mailbox->buffer, &item))
    return NULL;
  __tsan_acquire (mailbox);
  return item;
}

void
rst_mailbox_close (struct rst_mailbox *mailbox)
{
  atomic_store (&mailbox->closed, true);
}

bool
rst_mailbox_is_closed (const struct rst_mailbox *mailbox)
{
  return atomic_load (&mailbox->closed);
}

int
rst_mailbox_fd (const struct rst_mailbox *mailbox)
{
  return mailbox->fd;
}

void
rst_mailbox_clear (struct rst_mailbox *mailbox)
{
  rst_os_event_clear (mailbox->fd);
  /* Items posted from here on signal again; those posted earlier are in the
     ring when the reader takes what there is. */
  atomic_store (&mailbox->signalled, false);
}

bool
rst_mailbox_wait (struct rst_mailbox *mailbox, int timeout_ms)
{
  struct pollfd descriptor = { mailbox->fd, POLLIN, 0 };

  if (poll (&descriptor, 1, timeout_ms) <= 0)
    return false;
  rst_mailbox_clear (mailbox);
  return true;
}
