#include "rosemarystile.h"

/** Thousandths that pay for one retry. */
#define BUDGET_UNIT 1000

/** Bound on how often the open time of a breaker is doubled. */
#define BREAKER_DOUBLINGS 5

void
rst_budget_init (struct rst_budget *budget, int32_t per_request,
                 int32_t max_retries)
{
  budget->per_request = per_request;
  budget->max_tokens = max_retries * BUDGET_UNIT;
  budget->tokens = budget->max_tokens;
}

void
rst_budget_earn (struct rst_budget *budget)
{
  budget->tokens += budget->per_request;
  if (budget->tokens > budget->max_tokens)
    budget->tokens = budget->max_tokens;
}

bool
rst_budget_spend (struct rst_budget *budget)
{
  if (budget->tokens < BUDGET_UNIT)
    return false;
  budget->tokens -= BUDGET_UNIT;
  return true;
}

void
rst_breaker_init (struct rst_breaker *breaker, uint32_t threshold,
                  rst_ms open_ms)
{
  breaker->failures = 0;
  breaker->threshold = threshold;
  breaker->open_ms = open_ms;
  breaker->open_until = 0;
  breaker->probing = false;
}

bool
rst_breaker_allows (const struct rst_breaker *breaker, rst_ms now)
{
  if (breaker->open_until == 0)
    return true;
  return now >= breaker->open_until && !breaker->probing;
}

void
rst_breaker_sent (struct rst_breaker *breaker)
{
  if (breaker->open_until != 0)
    breaker->probing = true;
}

void
rst_breaker_result (struct rst_breaker *breaker, bool ok, rst_ms now)
{
  uint32_t beyond;

  breaker->probing = false;
  if (ok)
    {
      breaker->failures = 0;
      breaker->open_until = 0;
      return;
    }
  breaker->failures++;
  if (breaker->failures < breaker->threshold)
    return;
  beyond = breaker->failures - breaker->threshold;
  if (beyond > BREAKER_DOUBLINGS)
    beyond = BREAKER_DOUBLINGS;
  breaker->open_until = now + breaker->open_ms * ((rst_ms)1 << beyond);
}
