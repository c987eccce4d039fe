/** \file
 * Metrics in the Prometheus text format: latency histograms (Boost.Histogram) per service and
 * client account, limited in number, and plain counters.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/histogram.hpp>

#include "ids.h"

namespace worksshift {

/** Maximum number of client accounts with their own histograms; the rest share `other`. */
constexpr std::size_t max_accounts_with_histograms = 32;

/** The measured intervals: from the request to the first byte of the response, between two pieces
 * of a streamed response, and from the request to the end of the response. */
enum class latency : std::uint8_t { first_byte, between_pieces, total };

class metrics {
public:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis()));
    /** Histogram of latencies in seconds, and their sum. */
    struct series {
        histogram buckets;
        double sum = 0;

        void add(duration value);
    };

    /** Histogram of a service and account, created if missing. References stay valid. */
    series& find_or_create(latency kind, const service_id& service,
                           const client_account_id& account);
    void observe(latency kind, const service_id& service, const client_account_id& account,
                 duration value)
    {
        this->find_or_create(kind, service, account).add(value);
    }
    void count(const std::string& name, std::uint64_t add = 1) { this->counters[name] += add; }

    /** All metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    struct key {
        latency kind = latency::total;
        service_id service;
        client_account_id account;
        auto operator<=>(const key&) const = default;
    };

    client_account_id histogram_account(const client_account_id& account);

    std::map<key, series> histograms;
    std::map<client_account_id, bool> known_accounts;
    std::map<std::string, std::uint64_t> counters;
};

} // namespace worksshift
