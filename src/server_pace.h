/** \file
 * How long work takes on the machine of one server, relative to usual, as one VM knows it.
 *
 * A server may state this figure in its responses. It changes many times per second around a mean
 * that changes slowly, and one VM hears from one engine every few seconds, so the latest figure is
 * mostly noise when it is used. The estimate is therefore the mean of recent figures on a
 * logarithmic scale, with weights that decay with age, drawn towards 1 while there are few of them.
 * See docs/design/server-pace.md for the alternatives that were compared.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "ids.h"

namespace worksshift {

class server_pace {
public:
    /** Limits of a single figure. One malformed figure then cannot mark a server as slow. */
    static constexpr double min_figure = 0.25;
    static constexpr double max_figure = 5;
    /** The weight of a figure decays to 1/e in this time. */
    static constexpr duration decay_time = seconds(10);
    /** Figures obtained closer to each other than this are not independent and count together as
     * about one. */
    static constexpr duration change_time = milliseconds(100);
    /** Weight of the assumption that the pace is 1, in independent figures. */
    static constexpr double prior_weight = 2;
    /** A server that was slow is normal again below this share of the bound. */
    static constexpr double normal_share = 0.75;

    /** The server stated \p figure at \p at: 1 is as usual, 2 is twice as long. Figures may arrive
     * out of order. */
    void add(double figure, instant at);
    /** Expected duration of work relative to usual; 1 if no figure is known. */
    [[nodiscard]] double expected(instant now) const;
    /** Sum of the decayed weights of the figures. */
    [[nodiscard]] double weight(instant now) const;
    [[nodiscard]] bool known() const { return this->last_at != instant{}; }
    /** The figure stated last and its time; meaningless unless `known`. */
    [[nodiscard]] double last() const { return this->last_figure; }
    [[nodiscard]] instant last_stated_at() const { return this->last_at; }

private:
    double log_sum = 0; ///< weighted sum of the logarithms, as of `last_at`
    double weight_sum = 0;
    double last_figure = 1;
    instant last_at{}; ///< the epoch: none
};

/** The figure as it is sent in digests, 1 to 255; 0 stands for none. */
std::uint8_t encode_pace(std::optional<double> figure);
std::optional<double> decode_pace(std::uint8_t code);

} // namespace worksshift
