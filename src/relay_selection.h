/** \file
 * Selects the VM through which a request is relayed while this VM is cut off from its servers.
 *
 * Which VMs reach the servers is learned from the relayed requests themselves. VMs of the same data
 * centre come first, since bytes between data centres are expensive; the requests are spread over
 * several VMs, and a VM that takes no more is passed over for a while.
 */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "ids.h"

namespace worksshift {

/** A VM that may relay requests. */
struct relay_vm {
    std::uint32_t address = 0; ///< IPv4, host order
    bool local = false;        ///< in the same data centre
    region_id region;          ///< empty: unknown

    bool operator==(const relay_vm&) const = default;
};

/** How a request that was relayed to a VM ended there. */
enum class relay_result : std::uint8_t {
    served,      ///< the VM sent it to a server
    not_served,  ///< the VM reaches no server of the service either, or takes no more requests
    busy,        ///< the VM has no free slot of the service
    unreachable, ///< the VM did not respond
    unknown,     ///< ended by the caller
};

std::string_view name_of(relay_result result);

class relay_selection {
public:
    /** A VM that did not serve a request gets none of its service for this long; doubles with
     * further failures. */
    static constexpr duration initial_pause = seconds(1);
    static constexpr duration max_pause = seconds(8);
    /** A VM counts as serving for this long after it served a request. */
    static constexpr duration success_lifetime = seconds(5);
    /** A hint is used for this long. */
    static constexpr duration hint_lifetime = seconds(2);
    /** Number of VMs over which the requests of one VM are spread, if as many serve. */
    static constexpr std::size_t spread = 4;
    /** VMs of other data centres are used as well when those of this one have this many requests of
     * this VM in progress. */
    static constexpr std::uint32_t max_local_requests = 16;

    explicit relay_selection(unsigned seed = std::random_device{}()) : random(seed) {}

    /** Replaces the VMs to choose from. */
    void set_vms(std::vector<relay_vm> vms);
    /** Chooses a VM for a request to \p service and counts the request as in progress there.
     * \p allowed_regions: lists of which each that is not empty must name the VM's region.
     * \p refused: other VMs did not serve this request; the whole data centre may be cut off, so
     * VMs of others come first. std::nullopt if no VM is likely to serve it. */
    std::optional<std::uint32_t> choose(const service_id& service,
                                        std::array<std::span<const region_id>, 2> allowed_regions,
                                        bool refused, instant now);
    /** Chooses the less loaded of two random VMs of \p addresses, and counts the request there.
     * std::nullopt if none of them is likely to serve it. */
    std::optional<std::uint32_t>
    choose_from(std::span<const std::uint32_t> addresses, const service_id& service,
                std::array<std::span<const region_id>, 2> allowed_regions, instant now);
    /** Another VM says that \p vm serves the service; ignored if the VM is not known. */
    void on_hint(std::uint32_t vm, const service_id& service, instant now);
    /** A random VM that served the service recently; std::nullopt if none did. */
    std::optional<std::uint32_t> any_serving(const service_id& service, instant now);
    /** The request that was relayed to the VM has ended. */
    void on_ended(std::uint32_t vm, const service_id& service, relay_result result, instant now);
    [[nodiscard]] std::size_t size() const { return this->vms.size(); }

private:
    struct service_record {
        instant served_at{};
        instant hinted_at{};
        instant paused_until{};
        duration next_pause = initial_pause;
    };
    struct vm_record {
        std::uint32_t in_progress = 0;
        std::map<service_id, service_record> services;
    };
    struct candidate {
        const relay_vm* vm;
        std::uint32_t in_progress;
        bool serving; ///< served a request recently, or is said to serve them
    };

    std::vector<candidate> candidates(const service_id& service,
                                      std::array<std::span<const region_id>, 2> allowed_regions,
                                      instant now);
    static bool is_serving(const service_record& record, instant now);
    static void pause(service_record& record, instant now);
    std::uint32_t assign(std::span<const candidate> from);

    std::vector<relay_vm> vms;
    std::map<std::uint32_t, vm_record> records;
    std::minstd_rand random;
};

} // namespace worksshift
