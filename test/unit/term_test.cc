// How old a planner says that its confirmation by the store is, and how it
// reads the journal.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "daemon/term.h"
}

static rst_ms term_now;

// A heartbeat as it was sent.
struct SentHeartbeat
{
  int64_t ping_clock;
  rst_ms ping_age;
  rst_ms confirmation_age;
};

class Term : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    rst_planner_record record = {};

    create_term (record);
  }

  // Begins a term after that of another planner.
  void
  create_term (const rst_planner_record &record, int64_t link_bytes_per_ms = 0)
  {
    rst_term_config config = {};

    term_now = 1000;
    backend.userdata = this;
    backend.store_commit = [] (void *userdata, const rst_store_write *writes,
                               int, rst_store_done done, void *data) {
      auto *self = static_cast<Term *> (userdata);

      rst_planner_record_read (&self->written_record, writes[0].value,
                               writes[0].length);
      self->commit_done = done;
      self->commit_data = data;
    };
    backend.store_range = [] (void *userdata, const char *prefix, const char *,
                              rst_store_done done, void *data) {
      static_cast<Term *> (userdata)->prefixes.push_back (prefix);
      static_cast<Term *> (userdata)->keep (done, data);
    };
    backend.store_watch = [] (void *userdata, const char *, int64_t, int64_t,
                              rst_store_done done, void *data) {
      static_cast<Term *> (userdata)->keep (done, data);
    };
    config.backend = &backend;
    config.now = [] { return term_now; };
    config.unix_now = [] { return (int64_t)1700000000000 + term_now; };
    config.send = on_send;
    config.close = [] (void *, uint64_t) {};
    config.on_elected = [] (void *) {};
    config.on_ended = [] (void *) {};
    config.userdata = this;
    config.timing = { 5000, 6000, 120000, 250, link_bytes_per_ms };
    config.name = "n";
    config.address = "a:1";
    config.zone = "z";
    term = rst_term_create (&config, 0, &record);
  }

  void
  TearDown () override
  {
    rst_term_destroy (term);
    if (commit_done != nullptr)
      answer_commit ();
    for (auto &call : reads)
      call.first (rst_store_answer_new (), call.second);
  }

  // Answers the read under way, after a time, with a page of one segment that
  // ends its block.
  void
  answer_read (rst_ms took_ms, size_t segment_bytes)
  {
    auto call = reads.back ();
    rst_store_answer *answer = rst_store_answer_new ();
    auto *item = g_new0 (rst_store_item, 1);

    item->key = g_strdup ("rosemarystile/log/0000000000000108");
    item->value = (guint8 *)g_malloc0 (segment_bytes);
    item->length = segment_bytes;
    g_ptr_array_add (answer->items, item);
    term_now += took_ms;
    reads.pop_back ();
    call.first (answer, call.second);
  }

  void
  keep (rst_store_done done, void *data)
  {
    reads.emplace_back (done, data);
  }

  // Confirms the commit under way.
  void
  answer_commit ()
  {
    rst_store_done done = commit_done;
    rst_store_answer *answer = rst_store_answer_new ();

    commit_done = nullptr;
    answer->result = RST_RESULT_OK;
    answer->revision = ++revision;
    done (answer, commit_data);
  }

  void
  receive_hello (int64_t clock, uint64_t link = 7,
                 rst_role role = RST_ROLE_ENTRY, const char *zone = "z")
  {
    rst_pack pack;

    rst_pack_init (&pack, 5);
    rst_pack_int (&pack, RST_MSG_HELLO);
    rst_pack_int (&pack, role);
    rst_pack_text (&pack, "n");
    rst_pack_text (&pack, zone);
    rst_pack_int (&pack, clock);
    rst_term_handle_frame (term, link, pack.buffer.data, pack.buffer.size);
    rst_pack_clear (&pack);
  }

  static void
  on_send (void *userdata, uint64_t link, const void *data, size_t length)
  {
    msgpack_unpacked unpacked;
    rst_reader reader;
    SentHeartbeat heartbeat = {};

    rst_reader_open (&reader, &unpacked, data, length);
    int64_t kind = rst_reader_read_int (&reader);

    if (kind == RST_MSG_WELCOME)
      static_cast<Term *> (userdata)->welcomes.push_back (link);
    if (kind == RST_MSG_HEARTBEAT)
      {
        rst_reader_read_int (&reader);
        heartbeat.ping_clock = rst_reader_read_int (&reader);
        heartbeat.ping_age = rst_reader_read_int (&reader);
        heartbeat.confirmation_age = rst_reader_read_int (&reader);
        static_cast<Term *> (userdata)->heartbeats.push_back (heartbeat);
      }
    msgpack_unpacked_destroy (&unpacked);
  }

  rst_backend backend = {};
  rst_term *term = nullptr;
  rst_store_done commit_done = nullptr;
  void *commit_data = nullptr;
  int64_t revision = 0;
  rst_planner_record written_record = {};
  std::vector<std::pair<rst_store_done, void *> > reads;
  // Prefix of each page that was requested.
  std::vector<std::string> prefixes;
  std::vector<SentHeartbeat> heartbeats;
  // Link of each welcome that was sent.
  std::vector<uint64_t> welcomes;
};

// Fails if entry instances are not told that their planner is isolated with
// its zone, or that it is so no longer, or if agents are disturbed by it.
TEST_F (Term, TellsEntriesOnlyThatItIsIsolated)
{
  answer_commit ();
  receive_hello (77);
  receive_hello (77, 8, RST_ROLE_AGENT, "other");
  welcomes.clear ();
  for (int i = 0; i < 5; i++)
    {
      EXPECT_TRUE (welcomes.empty ());
      term_now += 250;
      rst_term_run (term);
    }
  EXPECT_EQ (welcomes, std::vector<uint64_t>{ 7 });
  /* The first commit was sent too long ago to confirm this planner. */
  for (int i = 0; i < 2; i++)
    {
      answer_commit ();
      term_now += 250;
      rst_term_run (term);
    }
  EXPECT_EQ (welcomes, (std::vector<uint64_t>{ 7, 7 }));
}

TEST_F (Term, TellsAnAgentThatConnectsHowOldItsConfirmationIs)
{
  answer_commit ();
  term_now += 3000;
  receive_hello (77);
  ASSERT_EQ (heartbeats.size (), 1u);
  EXPECT_EQ (heartbeats[0].ping_clock, 77);
  EXPECT_EQ (heartbeats[0].ping_age, 0);
  EXPECT_EQ (heartbeats[0].confirmation_age, 3000);
}

// A planner that was suspended reads the answer to a commit long after the
// store gave it; a successor may have been elected since.
TEST_F (Term, CountsAConfirmationFromWhenTheCommitWasSent)
{
  term_now += 4000;
  answer_commit ();
  receive_hello (77);
  ASSERT_FALSE (heartbeats.empty ());
  EXPECT_EQ (heartbeats.back ().confirmation_age, 4000);
}

class TermRestore : public Term
{
protected:
  void
  SetUp () override
  {
  }

  // Wins the election after a planner that left segments 0x108 to 0x330.
  void
  succeed (int64_t link_bytes_per_ms)
  {
    rst_planner_record predecessor = {};

    predecessor.epoch = 1;
    predecessor.first_segment = 0x108;
    predecessor.last_segment = 0x330;
    g_strlcpy (predecessor.address, "b:1", sizeof predecessor.address);
    create_term (predecessor, link_bytes_per_ms);
    answer_commit ();
  }

  // Answers the read under way and what is then to be committed.
  void
  finish_block (rst_ms took_ms, size_t segment_bytes)
  {
    answer_read (took_ms, segment_bytes);
    rst_term_run (term);
    if (commit_done != nullptr)
      answer_commit ();
    rst_term_run (term);
  }
};

// On a narrow link a large page held up the renewal of the planner record, and
// planners replaced each other before any had read the journal (review/4,
// LOST).
TEST_F (TermRestore, RenewsItsRecordBetweenBlocksOfTheJournal)
{
  succeed (250);
  ASSERT_EQ (prefixes.size (), 1u);
  EXPECT_EQ (prefixes[0], "rosemarystile/log/000000000000010");
  answer_read (400, 1000);
  rst_term_run (term);
  EXPECT_NE (commit_done, nullptr);
  EXPECT_EQ (prefixes.size (), 1u);
  EXPECT_EQ (written_record.first_segment, 0x108);
  EXPECT_EQ (written_record.last_segment, 0x330);
  answer_commit ();
  rst_term_run (term);
  ASSERT_EQ (prefixes.size (), 2u);
  EXPECT_EQ (prefixes[1], "rosemarystile/log/000000000000011");
}

TEST_F (TermRestore, ReadsBlocksThatTheLinkCarriesInTime)
{
  succeed (250);
  finish_block (5, 100);
  finish_block (5, 1000);
  finish_block (5, 18000);
  finish_block (5, 18000);
  EXPECT_EQ (prefixes, (std::vector<std::string>{
                           "rosemarystile/log/000000000000010",
                           "rosemarystile/log/00000000000001",
                           "rosemarystile/log/000000000000020",
                           "rosemarystile/log/0000000000000210",
                           "rosemarystile/log/0000000000000211",
                       }));
}

// A slow store makes each page late, however small.
TEST_F (TermRestore, ReadsLargeBlocksFromASlowStoreOverAFastLink)
{
  succeed (125000);
  finish_block (400, 3000);
  answer_read (400, 3000);
  rst_term_run (term);
  EXPECT_NE (commit_done, nullptr);
  EXPECT_EQ (prefixes, (std::vector<std::string>{
                           "rosemarystile/log/000000000000010",
                           "rosemarystile/log/00000000000001",
                           "rosemarystile/log/00000000000002",
                       }));
}

// The predecessor's record is of a version that did not name the segments.
TEST_F (Term, ReadsAJournalOfUnknownSegmentsAsAWhole)
{
  answer_commit ();
  ASSERT_EQ (prefixes.size (), 1u);
  EXPECT_EQ (prefixes[0], "rosemarystile/log/");
}
