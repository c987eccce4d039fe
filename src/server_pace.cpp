#include "server_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace worksshift {

namespace {

/** Steps of a figure in a digest: 0.04 up to 10.2, which covers the limits of a figure. */
constexpr double steps_per_unit = 25;

double ratio(duration span, duration unit)
{
    return std::chrono::duration<double>(span) / std::chrono::duration<double>(unit);
}

double decay_over(duration span)
{
    return std::exp(-std::max(ratio(span, server_pace::decay_time), 0.0));
}

} // namespace

void server_pace::add(double figure, instant at)
{
    if (!std::isfinite(figure) || figure <= 0) return;
    const double bounded = std::clamp(figure, min_figure, max_figure);
    double weight = 1;
    if (this->known()) {
        const duration gap = at > this->last_at ? at - this->last_at : this->last_at - at;
        weight = std::min(ratio(gap, change_time), 1.0);
    }
    if (at > this->last_at) {
        const double factor = this->known() ? decay_over(at - this->last_at) : 0;
        this->log_sum *= factor;
        this->weight_sum *= factor;
        this->last_at = at;
        this->last_figure = bounded;
    } else {
        weight *= decay_over(this->last_at - at);
    }
    this->log_sum += weight * std::log(bounded);
    this->weight_sum += weight;
}

double server_pace::weight(instant now) const
{
    return this->weight_sum * decay_over(now - this->last_at);
}

double server_pace::expected(instant now) const
{
    if (this->weight_sum <= 0) return 1;
    const double weight = this->weight(now);
    return std::exp(this->log_sum / this->weight_sum * weight / (weight + prior_weight));
}

std::uint8_t encode_pace(std::optional<double> figure)
{
    if (!figure || !std::isfinite(*figure) || *figure <= 0) return 0;
    const double bounded = std::clamp(*figure, server_pace::min_figure, server_pace::max_figure);
    return static_cast<std::uint8_t>(std::lround(bounded * steps_per_unit));
}

std::optional<double> decode_pace(std::uint8_t code)
{
    if (code == 0) return std::nullopt;
    return code / steps_per_unit;
}

} // namespace worksshift
