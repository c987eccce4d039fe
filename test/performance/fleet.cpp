/** \file
 * Gossip in simulated fleets of several sizes. Measures bytes per second, the error of the loads
 * that a VM assumes, the time until all VMs know a new version of the configuration, and processor
 * time.
 */
#include <algorithm>
#include <chrono>
#include <deque>
#include <numeric>

#include "rendezvous.h"
#include "support/benchmark_report.h"
#include "support/digest_fleet.h"

namespace {

using namespace support;
using namespace worksshift;

struct fleet_size {
    std::size_t vms;
    std::size_t data_centres;
    std::size_t servers;
    std::size_t requests_per_s;
    duration request_span; ///< duration of one request
};

/** Random requests, each in flight at one server for a fixed duration. */
class traffic {
public:
    traffic(digest_fleet& fleet, const fleet_size& size) : fleet(fleet), size(size)
    {
        for (std::uint32_t i = 0; i < size.servers; ++i)
            this->ids.push_back(static_cast<std::uint32_t>(rendezvous_weight(1, i)));
        fleet.servers = size.servers;
        for (auto& [vm, item] : fleet.vms)
            this->counts[vm].resize(size.servers);
    }

    /** Runs the fleet under load. */
    void run(duration span)
    {
        const instant end = this->fleet.now + span;
        while (this->fleet.now < end) {
            this->update_requests();
            this->report_loads();
            this->fleet.run(milliseconds(25));
        }
    }

    /** Sum of the errors of the loads that VMs assume, relative to the sum of the true loads. */
    double error_of_loads() const
    {
        double error_sum = 0;
        double all = 0;
        for (std::size_t vm = 0; vm < this->size.vms; vm += std::max<std::size_t>(vm, 7)) {
            const load_table assumed =
                this->fleet.vms.at(vm).rounds.loads_of_others(this->fleet.now);
            const load_table actual = this->fleet.total_loads_without(vm);
            for (const std::uint32_t id : this->ids) {
                error_sum +=
                    std::abs(static_cast<double>(load_at(assumed, id)) - load_at(actual, id));
                all += load_at(actual, id);
            }
        }
        return error_sum / all;
    }

private:
    struct request_end {
        instant at;
        std::size_t vm;
        std::size_t server;
    };

    void update_requests()
    {
        const double per_step = static_cast<double>(this->size.requests_per_s) * 0.025;
        const std::size_t count = std::poisson_distribution<std::size_t>(per_step)(this->random);
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t vm = this->random() % this->size.vms;
            const std::size_t server = this->random() % this->size.servers;
            ++this->counts[vm][server];
            this->request_ends.push_back({this->fleet.now + this->size.request_span, vm, server});
        }
        while (!this->request_ends.empty() && this->request_ends.front().at <= this->fleet.now) {
            const request_end& item = this->request_ends.front();
            --this->counts[item.vm][item.server];
            this->request_ends.pop_front();
        }
    }

    void report_loads()
    {
        for (auto& [vm, item] : this->fleet.vms) {
            if (!item.rounds.due(this->fleet.now + milliseconds(25))) continue;
            item.loads.clear();
            for (std::size_t i = 0; i < this->ids.size(); ++i) {
                const std::uint16_t requests = this->counts[vm][i];
                if (requests > 0) item.loads.push_back({this->ids[i], requests});
            }
        }
    }

    digest_fleet& fleet;
    fleet_size size;
    std::vector<std::uint32_t> ids;
    std::map<std::size_t, std::vector<std::uint16_t>> counts;
    std::deque<request_end> request_ends;
    std::mt19937_64 random{1};
};

/** Time until every VM knows a new version; each VM that learns it sends its next round early. */
double propagation_time_s(digest_fleet& fleet)
{
    fleet.vms.begin()->second.config_version = 2;
    fleet.vms.begin()->second.rounds.send_early();
    const auto all_know = [&] {
        for (auto& [vm, item] : fleet.vms) {
            if (item.config_version == 2) continue;
            const auto responsive_vms = item.rounds.fleet().responsive_vms(fleet.now);
            const bool is_reported = std::ranges::any_of(responsive_vms, [](const fleet_vm* other) {
                return other->last.config_version == 2;
            });
            if (!is_reported) continue;
            item.config_version = 2;
            item.rounds.send_early();
        }
        return std::ranges::all_of(
            fleet.vms, [](const auto& entry) { return entry.second.config_version == 2; });
    };
    return std::chrono::duration<double>(fleet.run_until(all_know, seconds(30))).count();
}

void measure(const fleet_size& size, benchmark_report& shown)
{
    constexpr duration settle = seconds(40);
    constexpr duration span = seconds(20);
    constexpr double bytes_limit = 12000;
    constexpr double percent = 100;
    digest_fleet fleet(size.vms, size.data_centres, 7);
    fleet.loss = 0.01;
    traffic load(fleet, size);
    load.run(settle);
    std::uint64_t sent = 0;
    std::uint64_t across = 0;
    for (const auto& [vm, item] : fleet.vms) {
        sent -= item.bytes_sent;
        across -= item.bytes_to_other_centres;
    }
    const double before = cpu_seconds(getpid());
    load.run(span);
    const double spent = cpu_seconds(getpid()) - before;
    std::uint64_t most = 0;
    for (const auto& [vm, item] : fleet.vms) {
        sent += item.bytes_sent;
        across += item.bytes_to_other_centres;
        most = std::max(most, item.bytes_sent);
    }
    const double vm_seconds =
        static_cast<double>(size.vms) * std::chrono::duration<double>(span).count();
    const std::string name = "fleet." + std::to_string(size.vms) + "_vms.";
    shown.at_most(name + "digest_bytes", static_cast<double>(sent) / vm_seconds, "B/s",
                  bytes_limit);
    shown.note(name + "bytes_between_data_centres", static_cast<double>(across) / vm_seconds,
               "B/s");
    shown.note(name + "load_error", load.error_of_loads() * percent, "percent");
    shown.at_most(name + "version_known_everywhere", propagation_time_s(fleet), "s", 2);
    shown.at_most(name + "processor", spent / vm_seconds * percent, "percent", 3.3);
}

} // namespace

int main()
{
    benchmark_report shown;
    measure({8, 4, 22, 320, milliseconds(400)}, shown);
    measure({80, 4, 93, 1014, milliseconds(500)}, shown);
    measure({300, 4, 300, 3000, milliseconds(500)}, shown);
    measure({480, 13, 1400, 5600, seconds(36)}, shown);
    return shown.exit_status();
}
