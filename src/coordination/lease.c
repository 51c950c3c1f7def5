#include "rosemarystile.h"

int
rst_lease_init (struct rst_lease *lease, rst_ms ttl_ms, rst_ms margin_ms)
{
  if (ttl_ms <= 0 || margin_ms < 0 || margin_ms >= ttl_ms)
    return RST_ERROR_INVALID;
  lease->ttl_ms = ttl_ms;
  lease->margin_ms = margin_ms;
  lease->valid_until = 0;
  return RST_OK;
}

void
rst_lease_record_renewal (struct rst_lease *lease, rst_ms sent_at)
{
  rst_ms until = sent_at + lease->ttl_ms - lease->margin_ms;

  if (until > lease->valid_until)
    lease->valid_until = until;
}

void
rst_lease_drop (struct rst_lease *lease)
{
  lease->valid_until = 0;
}

bool
rst_lease_is_held (const struct rst_lease *lease, rst_ms now)
{
  return now < lease->valid_until;
}
