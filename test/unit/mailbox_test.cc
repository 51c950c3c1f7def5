#include <gtest/gtest.h>

#include <poll.h>

extern "C"
{
#include "util/mailbox.h"
}

class Mailbox : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    mailbox = rst_mailbox_create (8);
    ASSERT_NE (mailbox, nullptr);
  }

  void
  TearDown () override
  {
    rst_mailbox_destroy (mailbox);
  }

  bool
  is_signalled ()
  {
    struct pollfd descriptor = { rst_mailbox_fd (mailbox), POLLIN, 0 };

    return poll (&descriptor, 1, 0) > 0;
  }

  rst_mailbox *mailbox = nullptr;
  int items[4] = {};
};

TEST_F (Mailbox, SignalsItemsPostedAfterTheDescriptorWasCleared)
{
  EXPECT_FALSE (is_signalled ());
  rst_mailbox_post (mailbox, &items[0]);
  rst_mailbox_post (mailbox, &items[1]);
  EXPECT_TRUE (is_signalled ());
  rst_mailbox_clear (mailbox);
  EXPECT_FALSE (is_signalled ());
  EXPECT_EQ (rst_mailbox_take (mailbox), &items[0]);
  EXPECT_EQ (rst_mailbox_take (mailbox), &items[1]);
  rst_mailbox_post (mailbox, &items[2]);
  EXPECT_TRUE (is_signalled ());
}

// The reader clears the descriptor first and takes the items then, so an item
// posted in between is taken and signalled again; no item is missed.
TEST_F (Mailbox, SignalsAnItemPostedBetweenClearingAndTaking)
{
  rst_mailbox_post (mailbox, &items[0]);
  rst_mailbox_clear (mailbox);
  rst_mailbox_post (mailbox, &items[1]);
  EXPECT_TRUE (is_signalled ());
  EXPECT_EQ (rst_mailbox_take (mailbox), &items[0]);
  EXPECT_EQ (rst_mailbox_take (mailbox), &items[1]);
  EXPECT_EQ (rst_mailbox_take (mailbox), nullptr);
}
