/**
 * DOC: mailbox - a bounded queue of pointers into one thread
 *
 * Any thread may post; one thread takes.  A descriptor becomes readable when
 * something was posted, so that the taker can wait for it with others.
 */
#ifndef RST_MAILBOX_H
#define RST_MAILBOX_H

#include <stdbool.h>

struct rst_mailbox;

/**
 * rst_mailbox_create() - Creates a mailbox.
 * @size: Bound on waiting items; a power of two.
 *
 * Return: The mailbox, or NULL when memory or descriptors are short.
 */
struct rst_mailbox *rst_mailbox_create (unsigned size);

/**
 * rst_mailbox_destroy() - Frees a mailbox that no thread uses.
 * @mailbox: The mailbox, or NULL.  Items still waiting are not freed.
 */
void rst_mailbox_destroy (struct rst_mailbox *mailbox);

/**
 * rst_mailbox_post() - Posts an item, from any thread.
 * @mailbox: The mailbox.
 * @item: The item; owned by the taker on success.
 *
 * Return: false when the mailbox is full.
 */
bool rst_mailbox_post (struct rst_mailbox *mailbox, void *item);

/**
 * rst_mailbox_take() - Takes the oldest item, from the taking thread.
 * @mailbox: The mailbox.
 *
 * Return: The item, or NULL when there is none.
 */
void *rst_mailbox_take (struct rst_mailbox *mailbox);

/** rst_mailbox_close() - Makes all later posts fail, from any thread. */
void rst_mailbox_close (struct rst_mailbox *mailbox);

/** rst_mailbox_is_closed() - Whether it was closed. */
bool rst_mailbox_is_closed (const struct rst_mailbox *mailbox);

/** rst_mailbox_fd() - The descriptor that becomes readable. */
int rst_mailbox_fd (const struct rst_mailbox *mailbox);

/**
 * rst_mailbox_wait() - Waits until something was posted.
 * @mailbox: The mailbox.
 * @timeout_ms: Longest wait, in milliseconds.
 */
void rst_mailbox_wait (struct rst_mailbox *mailbox, int timeout_ms);

#endif
