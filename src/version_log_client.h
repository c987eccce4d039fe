/** \file
 * Reads the version log of the fleet from the platform's store when a request needs it, and keeps
 * the stored log up to date if this VM is the one that does.
 *
 * The store keeps its history for seconds only, so the log is renewed every few seconds: it is
 * read, the changes of the registry since its revision are applied, and it is written on condition
 * that nobody has written it meanwhile. A VM that needs it does the same without the writing. It
 * reads after the request arrived, so that the log holds every version that can have begun its
 * stream; a VM that the store does not answer learns nothing and refuses.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http_client.h"
#include "metrics.h"
#include "protocol.h"
#include "server_table.h"
#include "version_log.h"

namespace worksshift {

/** Called once: with the only version that servers of a service have had within
 * `version_log::lifetime`; std::nullopt if there were several or it is not known. */
using only_version_handler = std::function<void(std::optional<software_version>)>;

struct only_version_question {
    service_id service;
    only_version_handler handler;
};

/** A read of the version log that is in progress. */
struct version_log_read {
    std::vector<only_version_question> questions; ///< asked before it began
    bool for_writing = false;
    bool from_store = false; ///< the log in use was begun by what the store holds
    bool begun_anew = false; ///< the log in use began at the registry's revision
    int calls_for_changes = 0;
    std::size_t changes = 0;
};

class version_log_client {
public:
    /** Interval at which the log is written: short against the history that the store keeps. */
    static constexpr duration write_period = seconds(5);
    /** Timeout of each call of a read that requests wait for. */
    static constexpr duration read_timeout = milliseconds(400);
    static constexpr duration write_timeout = seconds(2);
    /** Interval between the starts of two reads, and its part per VM of the fleet: 1,000 reads a
     * second if all VMs need the log at once. */
    static constexpr duration min_read_interval = milliseconds(50);
    static constexpr duration read_interval_per_vm = milliseconds(1);
    /** Calls for changes in one read. Each but the last returned some. */
    static constexpr int max_calls_for_changes = 16;

    /** Returns the revision of the registry that \p servers of the constructor holds at the time of
     * the call; 0: no complete list is known yet. */
    using revision_source = std::function<std::uint64_t()>;

    version_log_client(http_client& caller, const link_address& store, const protocol& adapter,
                       const server_table& servers, revision_source registry_revision,
                       metrics& telemetry);

    /** Asks for the only version of the service. The handler is called later. */
    void ask(service_id service, only_version_handler handler);
    /** \p writes: this VM is to keep the stored log up to date. \p vms: size of the fleet. */
    void tick(bool writes, std::size_t vms, instant now);
    /** Number of calls made to the store, none of them a stale read. */
    [[nodiscard]] std::uint64_t calls() const { return this->calls_made; }

private:
    using page_handler = void (version_log_client::*)(const object_page&, instant);

    void begin_read(bool for_writing, instant now);
    void call(const std::string& path, page_handler handler);
    void handle_response(const http_response& response, page_handler handler);
    void read_record();
    void handle_record(const object_page& page, instant now);
    void handle_configuration(const object_page& page, instant now);
    void read_changes();
    void handle_changes(const object_page& page, instant now);
    void handle_history_gone();
    void complete_read(instant now);
    void fail_read(std::string_view reason);
    void write(instant now);
    [[nodiscard]] std::vector<registry_change> decode_changes(const object_page& page) const;
    [[nodiscard]] std::set<service_version> listed_versions() const;

    http_client& caller;
    link_address store;
    const protocol& adapter;
    const server_table& servers;
    revision_source registry_revision;
    metrics& telemetry;

    std::unique_ptr<version_log> log; ///< nullptr: none is known
    /** Revision of the stored object; 0: there was none. */
    std::uint64_t record_revision = 0;
    std::vector<only_version_question> waiting; ///< for the next read
    std::unique_ptr<version_log_read> reading;  ///< nullptr: no read is in progress
    instant read_begun_at{};
    instant write_begun_at{};
    std::uint64_t calls_made = 0;
};

} // namespace worksshift
