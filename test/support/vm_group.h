/** \file
 * Test fixture: several VMs in one event loop, each of which reaches the servers through proxies of
 * its own, so that the network between a VM and the servers can fail for this VM alone.
 *
 * The VMs tell each other what their gossip would, without its datagrams.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "caller_connections.h"
#include "request_path.h"
#include "support/loopback_proxy.h"
#include "support/path_rig.h"

namespace support {

/** What becomes of a VM's connections to the servers while it is cut off from them. */
enum class cut_kind : std::uint8_t {
    refused, ///< open connections are reset, new ones refused
    silent,  ///< open connections carry nothing, new ones are not answered
    no_new,  ///< open connections work, new ones are refused
};

class vm_group {
public:
    explicit vm_group(std::size_t count);
    ~vm_group();
    vm_group(const vm_group&) = delete;
    vm_group& operator=(const vm_group&) = delete;
    vm_group(vm_group&&) = delete;
    vm_group& operator=(vm_group&&) = delete;

    /** Adds a server that all VMs know. \p version: of its software. */
    scripted_server& add_server(const std::string& id, const std::string& service,
                                scripted_server::script answer, const std::string& version = "v1");
    /** Cuts the VM off from all servers of \p service; from all servers if it is empty. */
    void cut_off(std::size_t vm, cut_kind kind, const std::string& service = {});
    void reconnect(std::size_t vm);
    /** As `cut_off`, and the VM knows it already: its connections failed, and the servers answered
     * other VMs since. */
    void cut_off_and_detect(std::size_t vm, cut_kind kind);
    /** Ends the VM's process; all its connections close. */
    void stop(std::size_t vm);
    /** The VM begins or continues a planned stop, see `caller_connections`. */
    void start_closing(std::size_t vm);
    void stop_listening(std::size_t vm);
    /** The VMs take any host for another VM. */
    void trust_all_hosts() { this->trusts_all_hosts = true; }
    /** The host of a server refuses connections from all VMs. */
    void end_server(std::size_t server);
    /** The registry shows the entry of a new process of the server, with another version. */
    void restart_entry(const std::string& server, const std::string& version);
    void set_retry_budget(const worksshift::fleet_retry_settings& settings);
    [[nodiscard]] worksshift::request_path& path(std::size_t vm);
    /** Where the VM accepts requests that other VMs relay. */
    [[nodiscard]] worksshift::link_address relay_address(std::size_t vm) const;

    raw_caller& add_caller(std::size_t vm);
    /** Runs the loop until \p done. Returns false if that takes more than five seconds. */
    bool run_until(const std::function<bool()>& done);
    void run_for(worksshift::duration span);

    [[nodiscard]] std::size_t size() const { return this->vms.size(); }
    worksshift::server_table& table(std::size_t vm);

    worksshift::event_ptr<event_base> base;
    std::vector<std::unique_ptr<scripted_server>> servers;

private:
    struct vm_state;
    struct origin_datagram {
        std::uint32_t from = 0; ///< addresses
        std::uint32_t to = 0;
        std::string bytes;
    };
    static std::uint32_t address_of(const vm_state& vm);
    void connect_vms();
    void deliver_origins(worksshift::instant now);
    void tick();
    void exchange_digests(worksshift::instant now);

    worksshift::protocol adapter;
    std::uint16_t relay_port;
    bool trusts_all_hosts = false;
    std::vector<origin_datagram> origin_datagrams; ///< on their way
    std::vector<std::unique_ptr<vm_state>> vms;
    std::vector<std::unique_ptr<raw_caller>> callers;
    worksshift::instant digests_sent_at{};
    worksshift::timer ticker;
};

} // namespace support
