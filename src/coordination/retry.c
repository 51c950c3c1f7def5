#include "rosemarystile.h"

/** Balance that one retry takes, in thousandths of a retry. */
#define PERMILLE_PER_RETRY 1000

/** Maximum number of times that the open time of a breaker is doubled. */
#define BREAKER_DOUBLINGS_MAX 5

void
rst_retry_budget_init (struct rst_retry_budget *budget,
                       int32_t per_request_permille, int32_t max_retries)
{
  budget->per_request_permille = per_request_permille;
  budget->max_balance_permille = max_retries * PERMILLE_PER_RETRY;
  budget->balance_permille = budget->max_balance_permille;
}

void
rst_retry_budget_add_request (struct rst_retry_budget *budget)
{
  budget->balance_permille += budget->per_request_permille;
  if (budget->balance_permille > budget->max_balance_permille)
    budget->balance_permille = budget->max_balance_permille;
}

bool
rst_retry_budget_take_retry (struct rst_retry_budget *budget)
{
  if (budget->balance_permille < PERMILLE_PER_RETRY)
    return false;
  budget->balance_permille -= PERMILLE_PER_RETRY;
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
rst_breaker_allows_request (const struct rst_breaker *breaker, rst_ms now)
{
  if (breaker->open_until == 0)
    return true;
  return now >= breaker->open_until && !breaker->probing;
}

void
rst_breaker_record_request (struct rst_breaker *breaker)
{
  if (breaker->open_until != 0)
    breaker->probing = true;
}

void
rst_breaker_record_result (struct rst_breaker *breaker, bool ok, rst_ms now)
{
  uint32_t doublings;

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
  doublings = breaker->failures - breaker->threshold;
  if (doublings > BREAKER_DOUBLINGS_MAX)
    doublings = BREAKER_DOUBLINGS_MAX;
  breaker->open_until = now + breaker->open_ms * ((rst_ms)1 << doublings);
}
