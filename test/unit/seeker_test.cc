#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "cell/seeker.h"
}

static rst_ms seeker_now;

class Seeker : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    create (0);
  }

  void
  create (rst_ms reserve_ms)
  {
    rst_seeker_config config = {};

    rst_seeker_destroy (seeker);
    config.reserve_ms = reserve_ms;

    seeker_now = 1000;
    backend.userdata = this;
    backend.store_get = [] (void *userdata, const char *key,
                            rst_store_done done, void *data) {
      auto *self = static_cast<Seeker *> (userdata);

      EXPECT_STREQ (key, RST_SEEKER_KEY);
      self->reads++;
      self->done = done;
      self->data = data;
    };
    config.backend = &backend;
    config.now = [] { return seeker_now; };
    config.connect = [] (void *userdata, const char *address) {
      auto *self = static_cast<Seeker *> (userdata);

      self->connects.push_back (address);
      return (uint64_t)self->connects.size ();
    };
    config.close = [] (void *, uint64_t) {};
    config.send = [] (void *, uint64_t, const void *, size_t) {};
    config.message = [] (void *, int, rst_reader *) {};
    config.linked = [] (void *userdata, bool serving) {
      static_cast<Seeker *> (userdata)->serving = serving;
    };
    config.lost = [] (void *) {};
    config.alive = [] (void *, rst_ms) {};
    config.take = [] (void *userdata, int64_t revision, const rst_seat *) {
      static_cast<Seeker *> (userdata)->taken.push_back (revision);
    };
    config.userdata = this;
    config.role = RST_ROLE_AGENT;
    config.name = "n";
    config.zone = "z";
    seeker = rst_seeker_create (&config);
  }

  void
  TearDown () override
  {
    rst_seeker_destroy (seeker);
  }

  // Lets time pass and answers each reading of the key.
  void
  pass (rst_ms length, int64_t revision, int64_t epoch, const char *address)
  {
    for (rst_ms end = seeker_now + length; seeker_now < end; seeker_now += 10)
      {
        int before = reads;

        rst_seeker_run (seeker);
        if (reads > before)
          answer (revision, epoch, address);
      }
  }

  void
  answer (int64_t revision, int64_t epoch, const char *address)
  {
    rst_store_answer *answer = rst_store_answer_new ();
    rst_seat seat = {};
    rst_pack pack;
    rst_item *item = g_new0 (rst_item, 1);

    seat.epoch = epoch;
    g_strlcpy (seat.address, address, sizeof seat.address);
    rst_seat_pack (&pack, &seat);
    item->key = g_strdup (RST_SEEKER_KEY);
    item->value = (guint8 *)g_memdup2 (pack.buffer.data, pack.buffer.size);
    item->length = pack.buffer.size;
    item->revision = revision;
    rst_pack_clear (&pack);
    if (revision == 0)
      answer->result = RST_RESULT_ABSENT;
    g_ptr_array_add (answer->items, item);
    if (revision == 0)
      g_ptr_array_set_size (answer->items, 0);
    done (answer, data);
  }

  void
  frame (int kind, std::vector<int64_t> numbers, const char *text = nullptr)
  {
    rst_pack pack;

    rst_pack_init (&pack, 1 + numbers.size () + (text != nullptr ? 1 : 0));
    rst_pack_int (&pack, kind);
    for (int64_t number : numbers)
      rst_pack_int (&pack, number);
    if (text != nullptr)
      rst_pack_text (&pack, text);
    rst_seeker_frame (seeker, pack.buffer.data, pack.buffer.size);
    rst_pack_clear (&pack);
  }

  void
  link_up (int64_t epoch)
  {
    pass (20, 5, epoch, "a:1");
    rst_seeker_opened (seeker);
    frame (RST_MSG_WELCOME, { epoch, 1 });
  }

  rst_backend backend = {};
  rst_seeker *seeker = nullptr;
  rst_store_done done = nullptr;
  void *data = nullptr;
  int reads = 0;
  bool serving = false;
  std::vector<std::string> connects;
  std::vector<int64_t> taken;
};

TEST_F (Seeker, ProposesToTakeAnAbsentKey)
{
  pass (20, 0, 0, "");
  ASSERT_FALSE (taken.empty ());
  EXPECT_EQ (taken[0], 0);
}

TEST_F (Seeker, LinksToThePlannerThatTheKeyNames)
{
  link_up (3);
  ASSERT_EQ (connects.size (), 1u);
  EXPECT_EQ (connects[0], "a:1");
  EXPECT_TRUE (serving);
  EXPECT_TRUE (rst_seeker_send (seeker, "x", 1));
}

TEST_F (Seeker, DoesNotReplaceAPlannerWhoseKeyMoves)
{
  for (int64_t revision = 5; revision < 45; revision++)
    {
      pass (160, revision, 3, "a:1");
      rst_seeker_closed (seeker);
    }
  EXPECT_TRUE (taken.empty ());
}

TEST_F (Seeker, ReplacesAPlannerWhoseKeyStandsStill)
{
  link_up (3);
  rst_seeker_closed (seeker);
  pass (100, 5, 3, "a:1");
  EXPECT_TRUE (taken.empty ());
  pass (1500, 5, 3, "a:1");
  ASSERT_FALSE (taken.empty ());
  EXPECT_EQ (taken[0], 5);
}

TEST_F (Seeker, ReplacesAPlannerThatResignedAtOnce)
{
  pass (20, 5, 3, "");
  ASSERT_EQ (taken.size (), 1u);
}

TEST_F (Seeker, LeavesTheRoleToOthersForAWhileOnASmallMachine)
{
  create (400);
  pass (380, 5, 3, "");
  EXPECT_TRUE (taken.empty ());
  pass (400, 5, 3, "");
  EXPECT_FALSE (taken.empty ());
}

TEST_F (Seeker, LooksAtTheStoreWhenThePlannerHasLostIt)
{
  link_up (3);
  int before = reads;

  pass (300, 5, 3, "a:1");
  EXPECT_EQ (reads, before);
  frame (RST_MSG_ALIVE, { 1000 });
  pass (1500, 5, 3, "a:1");
  EXPECT_GT (reads, before);
  EXPECT_FALSE (taken.empty ());
}

TEST_F (Seeker, FollowsWordOfALaterPlannerOnly)
{
  link_up (3);
  frame (RST_MSG_MOVED, { 2 }, "old:1");
  EXPECT_EQ (connects.size (), 1u);
  frame (RST_MSG_MOVED, { 4 }, "new:1");
  ASSERT_EQ (connects.size (), 2u);
  EXPECT_EQ (connects[1], "new:1");
}

TEST_F (Seeker, DoesNotReconnectInABusyLoop)
{
  for (int i = 0; i < 100; i++)
    {
      pass (10, 5, 3, "a:1");
      rst_seeker_closed (seeker);
    }
  EXPECT_LT (connects.size (), 30u);
}
