#include "share_loads.h"

#include <set>

#include "placement.h"

namespace worksshift {

namespace {

/** The other VMs that are the gate of a server of this service. */
std::set<vm_id> other_gates(const tables& t, const service_row& service)
{
    std::set<vm_id> vms;
    for (const server_id& id : service.servers) {
        const vm_id gate = gate_of(t.servers.at(id));
        if (!gate.empty() && gate != t.self) vms.insert(gate);
    }
    return vms;
}

} // namespace

void share_loads(const tables& t, membership& members, instant& next, const tick_time& time)
{
    if (time.now < next) return;
    std::map<vm_id, std::vector<load_summary>> by_receiver;
    for (const auto& [id, service] : t.services) {
        std::vector<load_summary> own_loads;
        for (const server_id& server : service.servers) {
            const auto gate = t.gates.find(server);
            if (gate != t.gates.end() && gate->second.is_first_ranked) {
                own_loads.push_back(t.servers.at(server).load);
            }
        }
        if (own_loads.empty()) continue;
        for (const vm_id& vm : other_gates(t, service)) {
            std::ranges::copy(own_loads, std::back_inserter(by_receiver[vm]));
        }
    }
    next = time.now +
           std::max<duration>(t.settings.load_interval,
                              load_interval_per_receiver * static_cast<int>(by_receiver.size()));
    for (const auto& [vm, loads] : by_receiver) {
        for (std::size_t i = 0; i < loads.size(); i += loads_per_datagram) {
            const std::size_t end = std::min(loads.size(), i + loads_per_datagram);
            members.send_loads(vm, {loads.begin() + static_cast<std::ptrdiff_t>(i),
                                    loads.begin() + static_cast<std::ptrdiff_t>(end)});
        }
    }
}

} // namespace worksshift
