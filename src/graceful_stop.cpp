#include "graceful_stop.h"

#include <algorithm>

namespace worksshift {

void graceful_stop::begin(instant now)
{
    if (!this->stopping()) this->began_at = now;
}

bool graceful_stop::accepts_connections(instant now) const
{
    if (!this->stopping()) return true;
    // In a short grace period, half of the time is left for the requests that were accepted.
    const duration serving_time = this->requests_end_at() - this->began_at;
    return this->elapsed(now) < std::min(this->accept_time, serving_time / 2);
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

instant graceful_stop::exit_at() const
{
    return this->began_at + this->grace - exit_margin;
}

} // namespace worksshift
