// Texts of others that the scheduler carries: advice tickets.
#include <gtest/gtest.h>

#include "cell_harness.h"

extern "C"
{
#include "adapter_private.h"
}

using harness::Planner;

namespace
{

// Returns the ticket of an answer of the advice service that approves "i-0",
// or "(none)" if the approval is left out.
std::string
parse_ticket (const std::string &ticket)
{
  rst_advice_answer *answer = rst_advice_answer_new ();
  std::string text = "{\"approved\":[[\"i-0\",\"" + ticket + "\"]]}";
  std::string parsed = "(none)";

  EXPECT_TRUE (rst_platform_parse_tickets (text.c_str (), answer));
  if (answer->tickets->len > 0)
    parsed = g_array_index (answer->tickets, rst_ticket, 0).ticket;
  rst_advice_answer_free (answer);
  return parsed;
}

// Returns the ticket of the start order after the service has approved it.
std::string
get_ticket_of_start (const std::string &ticket)
{
  Planner planner;

  planner.start_serving (1, true);
  planner.send_call (1, RST_OPERATION_SUBMIT, "00000000000000c1",
                     Planner::make_job (1, 1000));
  planner.settle ();
  planner.send_advice (1, planner.sent_of_kind (RST_MSG_ADVISE).at (0).number,
                       { "i-0" }, ticket);
  planner.settle ();
  return planner.sent_of_kind (RST_MSG_START).at (0).ticket;
}

} // namespace

// A ticket of more than 63 characters was cut, and the instance rejected every
// start that carried it.
TEST (AdviceTicket, OfMoreThan63CharactersIsNotCut)
{
  for (size_t length : { 1, 63, 64, 65, 500, 4096 })
    {
      std::string ticket (length, 't');

      EXPECT_TRUE (parse_ticket (ticket) == ticket) << "length " << length;
      EXPECT_TRUE (get_ticket_of_start (ticket) == ticket)
          << "length " << length;
    }
}

TEST (AdviceTicket, AboveTheLimitLeavesTheApprovalOut)
{
  EXPECT_EQ (parse_ticket (std::string (RST_TICKET_BYTES_MAX + 1, 't')),
             "(none)");
}
