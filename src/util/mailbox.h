/**
 * DOC: mailbox - bounded queue with many producers and one consumer
 *
 * Any thread may post items; one thread takes them.  A file descriptor becomes
 * readable when an item is posted, so that the consumer can poll it together
 * with others.
 */
#ifndef RST_MAILBOX_H
#define RST_MAILBOX_H

#include <stdbool.h>

struct rst_mailbox;

/**
 * rst_mailbox_create() - Creates a mailbox.
 * @size: Size of the ring buffer, a power of two; it holds @size - 1 items.
 *
 * Return: The mailbox, or NULL if a resource could not be allocated.
 */
struct rst_mailbox *rst_mailbox_create (unsigned size);

/**
 * rst_mailbox_destroy() - Frees a mailbox that no thread uses any more.
 * @mailbox: The mailbox, or NULL.
 *
 * Items that were not taken are not freed.
 */
void rst_mailbox_destroy (struct rst_mailbox *mailbox);

/**
 * rst_mailbox_post() - Posts an item; may be called from any thread.
 * @mailbox: The mailbox.
 * @item: The item; owned by the consumer on success.
 *
 * Return: false if the mailbox is full or closed.
 */
bool rst_mailbox_post (struct rst_mailbox *mailbox, void *item);

/**
 * rst_mailbox_take() - Takes the oldest item; for the consumer's thread only.
 * @mailbox: The mailbox.
 *
 * Return: The item, or NULL if the mailbox is empty.
 */
void *rst_mailbox_take (struct rst_mailbox *mailbox);

/** rst_mailbox_close() - Makes later posts fail; safe from any thread. */
void rst_mailbox_close (struct rst_mailbox *mailbox);

/** rst_mailbox_is_closed() - Returns whether the mailbox was closed. */
bool rst_mailbox_is_closed (const struct rst_mailbox *mailbox);

/**
 * rst_mailbox_fd() - Returns the descriptor that signals posted items.
 * @mailbox: The mailbox, which owns the descriptor.
 *
 * The consumer resets it with rst_mailbox_clear() before it takes items.
 */
int rst_mailbox_fd (const struct rst_mailbox *mailbox);

/** rst_mailbox_clear() - Resets the descriptor; for the consumer's thread. */
void rst_mailbox_clear (struct rst_mailbox *mailbox);

/**
 * rst_mailbox_wait() - Waits for a posted item and resets the descriptor.
 * @mailbox: The mailbox.
 * @timeout_ms: Longest wait in milliseconds; -1 for no limit.
 *
 * Return: Whether an item was posted.
 */
bool rst_mailbox_wait (struct rst_mailbox *mailbox, int timeout_ms);

#endif
