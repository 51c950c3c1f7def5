/**
 * DOC: coordination_test - tests of leases, tenures, ownership, upper limits,
 * retry budgets and circuit breakers
 */
#include <cstdlib>
#include <cstring>

#include <gtest/gtest.h>

#include "rosemarystile.h"

namespace
{

const struct rst_tenure_config config = { 4000, 200, 2000, 4000 };

struct rst_zone *
create_zone (const char *const *members, int count, uint64_t revision)
{
  struct rst_zone *zone = rst_zone_create ("z1");

  for (int i = 0; i < count; i++)
    {
      struct rst_member member = {};

      strcpy (member.name, members[i]);
      strcpy (member.incarnation, members[i]);
      rst_zone_add_member (zone, &member);
    }
  zone->revision = revision;
  return zone;
}

TEST (Lease, CountsFromTheTimeBeforeTheRenewalWasSent)
{
  struct rst_lease lease;

  ASSERT_EQ (rst_lease_init (&lease, 1000, 100), RST_OK);
  EXPECT_FALSE (rst_lease_is_held (&lease, 0));
  rst_lease_record_renewal (&lease, 500);
  EXPECT_TRUE (rst_lease_is_held (&lease, 1399));
  EXPECT_FALSE (rst_lease_is_held (&lease, 1400));
  rst_lease_record_renewal (&lease, 300);
  EXPECT_TRUE (rst_lease_is_held (&lease, 1399));
  rst_lease_drop (&lease);
  EXPECT_FALSE (rst_lease_is_held (&lease, 600));
}

TEST (Lease, RejectsAMarginNotBelowTheTimeToLive)
{
  struct rst_lease lease;

  EXPECT_EQ (rst_lease_init (&lease, 100, 100), RST_ERROR_INVALID);
  EXPECT_EQ (rst_lease_init (&lease, 0, 0), RST_ERROR_INVALID);
}

class Tenure : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    const char *members[] = { "a", "b", "c" };

    tenure = rst_tenure_create (&config, "a");
    zone = create_zone (members, 3, 10);
    rst_tenure_declare_view (tenure, zone);
    rst_tenure_confirm_view (tenure, 10);
  }

  void
  TearDown () override
  {
    rst_zone_destroy (zone);
    rst_tenure_destroy (tenure);
  }

  struct rst_tenure *tenure;
  struct rst_zone *zone;
};

TEST_F (Tenure, IsHeldWithTheLeaseOnly)
{
  rst_tenure_record_renewal (tenure, 1000);
  EXPECT_TRUE (rst_tenure_is_held (tenure, 4799));
  EXPECT_FALSE (rst_tenure_is_held (tenure, 4800));
}

TEST_F (Tenure, NeedsAPromiseFromEveryDeclaredMember)
{
  rst_tenure_record_promise (tenure, "b", 1000, 2000);
  EXPECT_FALSE (rst_tenure_is_held (tenure, 1500));
  EXPECT_STREQ (rst_tenure_find_missing_promise (tenure, 1500), "c");
  rst_tenure_record_promise (tenure, "c", 1200, 2000);
  EXPECT_TRUE (rst_tenure_is_held (tenure, 2799));
  EXPECT_FALSE (rst_tenure_is_held (tenure, 2800));
}

TEST_F (Tenure, NeedsPromisesForANewViewBeforeItIsWritten)
{
  const char *more[] = { "a", "b", "c", "d" };
  struct rst_zone *wider = create_zone (more, 4, 20);

  rst_tenure_record_promise (tenure, "b", 1000, 2000);
  rst_tenure_record_promise (tenure, "c", 1000, 2000);
  ASSERT_TRUE (rst_tenure_is_held (tenure, 1500));
  rst_tenure_declare_view (tenure, wider);
  EXPECT_FALSE (rst_tenure_is_held (tenure, 1500));
  rst_tenure_record_promise (tenure, "d", 1400, 2000);
  EXPECT_TRUE (rst_tenure_is_held (tenure, 1500));
  rst_zone_destroy (wider);
}

TEST_F (Tenure, RequiresTheOldViewUntilTheNewOneIsConfirmed)
{
  const char *fewer[] = { "a", "b" };
  struct rst_zone *narrower = create_zone (fewer, 2, 20);

  rst_tenure_declare_view (tenure, narrower);
  rst_tenure_record_promise (tenure, "b", 1000, 2000);
  EXPECT_FALSE (rst_tenure_is_held (tenure, 1500));
  rst_tenure_confirm_view (tenure, 20);
  EXPECT_TRUE (rst_tenure_is_held (tenure, 1500));
  rst_zone_destroy (narrower);
}

TEST_F (Tenure, CountsAMemberStopOnlyWithinTheQuietTime)
{
  rst_tenure_record_promise (tenure, "b", 1000, 2000);
  rst_tenure_record_promise (tenure, "c", 1000, 2000);
  rst_tenure_record_member_stop (tenure, "c", 4900);
  EXPECT_FALSE (rst_tenure_is_held (tenure, 4950));
  rst_tenure_record_promise (tenure, "b", 4900, 2000);
  EXPECT_FALSE (rst_tenure_is_held (tenure, 4950));
  rst_tenure_record_promise (tenure, "c", 5000, 2000);
  rst_tenure_record_member_stop (tenure, "c", 8000);
  rst_tenure_record_promise (tenure, "b", 8000, 2000);
  EXPECT_TRUE (rst_tenure_is_held (tenure, 9000));
}

TEST_F (Tenure, IsNotHeldOnceEnded)
{
  rst_tenure_record_renewal (tenure, 1000);
  rst_tenure_end (tenure);
  EXPECT_FALSE (rst_tenure_is_held (tenure, 1001));
}

TEST (Promises, ExpireBeforeFencingIsAllowed)
{
  struct rst_promises *promises = rst_promises_create (&config, 0);

  EXPECT_FALSE (rst_promises_allow_fencing (promises, "a", 3999));
  EXPECT_TRUE (rst_promises_allow_fencing (promises, "a", 4000));
  EXPECT_EQ (rst_promises_issue (promises, "a", 5000), 2000);
  EXPECT_FALSE (rst_promises_allow_fencing (promises, "a", 8999));
  EXPECT_TRUE (rst_promises_allow_fencing (promises, "a", 9000));
  rst_promises_set_refused (promises, "a", true);
  EXPECT_EQ (rst_promises_issue (promises, "a", 9001), 0);
  rst_promises_set_refused (promises, "a", false);
  EXPECT_EQ (rst_promises_issue (promises, "a", 9002), 2000);
  rst_promises_destroy (promises);
}

TEST (Ownership, RoundTripsThroughJson)
{
  const char *members[] = { "a", "b" };
  const char *instances[] = { "w2", "w1", "w3" };
  struct rst_zone *zone = create_zone (members, 2, 5);
  struct rst_zone *read = nullptr;
  char *text;

  strcpy (zone->writer, "a");
  zone->write_number = 7;
  ASSERT_GE (rst_zone_claim_instances (zone, "a", instances, 3), 0);
  text = rst_zone_format (zone);
  ASSERT_EQ (rst_zone_parse (text, 9, &read), RST_OK);
  EXPECT_EQ (read->revision, 9u);
  EXPECT_EQ (read->write_number, 7u);
  EXPECT_EQ (read->member_count, 2);
  ASSERT_EQ (read->owned_count, 3);
  EXPECT_STREQ (read->owned[0].instance, "w1");
  EXPECT_STREQ (read->owned[2].owner, zone->owned[2].owner);
  EXPECT_EQ (rst_zone_parse ("{\"zone\":1}", 1, &read), RST_ERROR_INVALID);
  free (text);
  rst_zone_destroy (zone);
  rst_zone_destroy (read);
}

TEST (Ownership, ClaimsOnlyUnownedInstancesAndRaisesTheEpoch)
{
  const char *members[] = { "a" };
  const char *instances[] = { "w1", "w2" };
  struct rst_zone *zone = create_zone (members, 1, 1);

  EXPECT_EQ (rst_zone_claim_instances (zone, "a", instances, 2), 2);
  EXPECT_EQ (rst_zone_claim_instances (zone, "a", instances, 2), 0);
  EXPECT_EQ (rst_zone_find_ownership (zone, "w1")->epoch, 2u);
  EXPECT_EQ (rst_zone_remove_member (zone, "a"), RST_OK);
  EXPECT_STREQ (rst_zone_find_ownership (zone, "w1")->owner, "");
  EXPECT_FALSE (rst_zone_find_ownership (zone, "w1")->settled);
  EXPECT_EQ (rst_zone_claim_instances (zone, "a", instances, 2), 0);
  rst_zone_destroy (zone);
}

TEST (Ownership, GivesAReturningInstanceAHigherEpoch)
{
  const char *members[] = { "a" };
  const char *instances[] = { "w1" };
  struct rst_zone *zone = create_zone (members, 1, 3);
  uint64_t epoch;

  ASSERT_EQ (rst_zone_claim_instances (zone, "a", instances, 1), 1);
  epoch = rst_zone_find_ownership (zone, "w1")->epoch;
  ASSERT_EQ (rst_zone_remove_instance (zone, "w1"), RST_OK);
  zone->revision = 5;
  ASSERT_EQ (rst_zone_claim_instances (zone, "a", instances, 1), 1);
  EXPECT_GT (rst_zone_find_ownership (zone, "w1")->epoch, epoch);
  rst_zone_destroy (zone);
}

TEST (Ownership, SharesInstancesEvenly)
{
  const char *members[] = { "a", "b", "c" };
  struct rst_zone *zone = create_zone (members, 3, 1);
  char names[60][8];
  const char *instances[60];
  int owned_count[3] = { 0, 0, 0 };

  for (int i = 0; i < 60; i++)
    {
      snprintf (names[i], sizeof names[i], "w%d", i);
      instances[i] = names[i];
    }
  for (int round = 0; round < 3; round++)
    for (int m = 0; m < 3; m++)
      rst_zone_claim_instances (zone, members[m], instances, 60);
  for (int i = 0; i < zone->owned_count; i++)
    for (int m = 0; m < 3; m++)
      if (strcmp (zone->owned[i].owner, members[m]) == 0)
        owned_count[m]++;
  EXPECT_EQ (owned_count[0] + owned_count[1] + owned_count[2], 60);
  EXPECT_LE (owned_count[0], 30);
  EXPECT_LE (owned_count[1], 30);
  EXPECT_LE (owned_count[2], 30);
  rst_zone_destroy (zone);
}

TEST (Ownership, RendezvousMovesOnlyKeysOfTheRemovedName)
{
  const char *three[] = { "a", "b", "c" };
  const char *two[] = { "a", "b" };

  for (int i = 0; i < 200; i++)
    {
      std::string key = "key" + std::to_string (i);
      int before = rst_rendezvous_pick (key.c_str (), three, 3);

      if (before == 2)
        continue;
      EXPECT_EQ (rst_rendezvous_pick (key.c_str (), two, 2), before);
    }
  EXPECT_EQ (rst_rendezvous_pick ("x", two, 0), -1);
}

TEST (Limit, NeverGrantsMoreThanTheUpperLimit)
{
  struct rst_limit limit;

  ASSERT_EQ (rst_limit_parse (nullptr, 0, &limit), RST_OK);
  EXPECT_EQ (rst_limit_grow_part (&limit, "a", 10, 8), RST_OK);
  EXPECT_EQ (rst_limit_grow_part (&limit, "b", 10, 8), RST_ERROR_LIMIT);
  EXPECT_EQ (rst_limit_sum_granted (&limit), 10u);
  EXPECT_EQ (rst_limit_find_part (&limit, "b")->wanted, 6u);
}

TEST (Limit, ReturnsHalfOfTheUnusedPartWhenOthersWantMore)
{
  struct rst_limit limit;

  rst_limit_parse (nullptr, 0, &limit);
  rst_limit_grow_part (&limit, "a", 10, 10);
  EXPECT_EQ (rst_limit_get_target_part (&limit, "a", 10, 2, 0), 10u);
  rst_limit_grow_part (&limit, "b", 10, 3);
  EXPECT_EQ (rst_limit_get_target_part (&limit, "a", 10, 2, 0), 7u);
  EXPECT_EQ (rst_limit_get_target_part (&limit, "a", 10, 2, 8), 10u);
}

TEST (Limit, ScalesPartsDownWhenTheLimitIsLowered)
{
  struct rst_limit limit;

  rst_limit_parse (nullptr, 0, &limit);
  rst_limit_grow_part (&limit, "a", 20, 15);
  rst_limit_grow_part (&limit, "b", 20, 5);
  EXPECT_EQ (rst_limit_get_target_part (&limit, "a", 10, 15, 0), 7u);
  EXPECT_EQ (rst_limit_get_target_part (&limit, "b", 10, 5, 0), 2u);
}

TEST (Limit, RoundTripsThroughJson)
{
  struct rst_limit limit;
  struct rst_limit read;
  char *text;

  rst_limit_parse (nullptr, 0, &limit);
  rst_limit_grow_part (&limit, "a", 20, 15);
  rst_limit_find_part (&limit, "a")->write_number = 4;
  text = rst_limit_format (&limit);
  ASSERT_EQ (rst_limit_parse (text, 3, &read), RST_OK);
  EXPECT_EQ (read.revision, 3u);
  EXPECT_EQ (rst_limit_find_part (&read, "a")->granted, 15u);
  EXPECT_EQ (rst_limit_find_part (&read, "a")->write_number, 4u);
  EXPECT_EQ (rst_limit_parse ("[]", 1, &read), RST_ERROR_INVALID);
  free (text);
}

TEST (Budget, BoundsRetriesToAFractionOfTheRequests)
{
  struct rst_retry_budget budget;
  int retries = 0;

  rst_retry_budget_init (&budget, 100, 2);
  for (int i = 0; i < 100; i++)
    {
      rst_retry_budget_add_request (&budget);
      if (rst_retry_budget_take_retry (&budget))
        retries++;
    }
  EXPECT_LE (retries, 12);
  EXPECT_GE (retries, 10);
}

TEST (Breaker, OpensAllowsOneProbeAndCloses)
{
  struct rst_breaker breaker;

  rst_breaker_init (&breaker, 2, 100);
  rst_breaker_record_result (&breaker, false, 0);
  EXPECT_TRUE (rst_breaker_allows_request (&breaker, 0));
  rst_breaker_record_result (&breaker, false, 0);
  EXPECT_FALSE (rst_breaker_allows_request (&breaker, 99));
  EXPECT_TRUE (rst_breaker_allows_request (&breaker, 100));
  rst_breaker_record_request (&breaker);
  EXPECT_FALSE (rst_breaker_allows_request (&breaker, 101));
  rst_breaker_record_result (&breaker, false, 101);
  EXPECT_FALSE (rst_breaker_allows_request (&breaker, 300));
  EXPECT_TRUE (rst_breaker_allows_request (&breaker, 301));
  rst_breaker_record_result (&breaker, true, 302);
  EXPECT_TRUE (rst_breaker_allows_request (&breaker, 302));
}

TEST (MemberRecord, RoundTripsThroughJson)
{
  struct rst_member_record record = {};
  struct rst_member_record read;
  char *text;

  strcpy (record.incarnation, "z1:e1:1");
  strcpy (record.fenced_by, "z1:e2:1");
  record.view = 12;
  record.touch = 3;
  text = rst_member_record_format (&record);
  ASSERT_EQ (rst_member_record_parse (text, &read), RST_OK);
  EXPECT_STREQ (read.fenced_by, "z1:e2:1");
  EXPECT_EQ (read.view, 12u);
  EXPECT_EQ (rst_member_record_parse ("{}", &read), RST_ERROR_INVALID);
  free (text);
}

}
