#include "metrics.h"

#include <sstream>

namespace worksshift {

namespace {

constexpr unsigned bucket_count = 30;
constexpr double min_latency_s = 0.0001;
constexpr double max_latency_s = 100;

const char* name_of(latency kind)
{
    switch (kind) {
    case latency::first_byte:
        return "worksshift_first_byte_seconds";
    case latency::between_pieces:
        return "worksshift_between_pieces_seconds";
    case latency::total:
        return "worksshift_request_seconds";
    }
    return "";
}

std::string escape_label(const std::string& value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '"' || character == '\\') escaped += '\\';
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

} // namespace

client_account_id metrics::histogram_account(const client_account_id& account)
{
    if (this->known_accounts.contains(account)) return account;
    if (this->known_accounts.size() >= max_accounts_with_histograms) return {"other"};
    this->known_accounts[account] = true;
    return account;
}

void metrics::series::add(duration value)
{
    const double span = std::chrono::duration<double>(value).count();
    this->buckets(span);
    this->sum += span;
}

metrics::series& metrics::find_or_create(latency kind, const service_id& service,
                                         const client_account_id& account)
{
    const key name{kind, service, this->histogram_account(account)};
    const auto found = this->histograms.find(name);
    if (found != this->histograms.end()) return found->second;
    auto empty = boost::histogram::make_histogram(axis(bucket_count, min_latency_s, max_latency_s));
    return this->histograms.emplace(name, series{std::move(empty), 0}).first->second;
}

std::string metrics::text() const
{
    std::ostringstream out;
    for (const auto& [name, value] : this->counters)
        out << name << ' ' << value << '\n';
    for (const auto& [name, values] : this->histograms) {
        const std::string labels = "service=\"" + escape_label(name.service.text) +
                                   "\",client_account=\"" + escape_label(name.account.text) + "\"";
        const char* metric = name_of(name.kind);
        double total = values.buckets.at(-1);
        const auto& scale = values.buckets.axis(0);
        for (int i = 0; i < scale.size(); ++i) {
            total += values.buckets.at(i);
            out << metric << "_bucket{" << labels << ",le=\"" << scale.bin(i).upper() << "\"} "
                << total << '\n';
        }
        total += values.buckets.at(scale.size());
        out << metric << "_bucket{" << labels << ",le=\"+Inf\"} " << total << '\n';
        out << metric << "_sum{" << labels << "} " << values.sum << '\n';
        out << metric << "_count{" << labels << "} " << total << '\n';
    }
    return out.str();
}

} // namespace worksshift
