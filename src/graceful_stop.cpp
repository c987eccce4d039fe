#include "graceful_stop.h"

namespace worksshift {

void graceful_stop::begin(instant now)
{
    if (!this->stopping()) this->began_at = now;
}

bool graceful_stop::accepts_connections(instant now) const
{
    return this->elapsed(now) < max_accept_time;
}

bool graceful_stop::serves(instant now, instant deadline) const
{
    return this->accepts_connections(now) || deadline <= this->requests_end_at();
}

duration graceful_stop::elapsed(instant now) const
{
    return this->stopping() ? now - this->began_at : duration::zero();
}

instant graceful_stop::requests_end_at() const
{
    return this->began_at + this->grace - end_margin;
}

} // namespace worksshift
