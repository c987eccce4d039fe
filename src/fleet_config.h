/** \file
 * The configuration as typed values: services with their servers, and client accounts.
 *
 * config_documents.h converts it from and to the documents that the platform stores.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "account_table.h"

namespace worksshift {

enum class service_kind : std::uint8_t { chat, plain };

/** One model server or plain endpoint. */
struct server_config {
    server_id id;
    data_centre_id data_centre;
    std::string address; ///< IPv4 number
    std::uint16_t port = 0;
    std::uint32_t limit = 0;      ///< maximum number of concurrent requests
    bool draining = false;        ///< receives no new requests
    std::uint64_t added_at_s = 0; ///< Unix time; for `ramp_time_s` after it, gets new chats only

    bool operator==(const server_config&) const = default;
};

/** A model, or a plain service under a path prefix. */
struct service_config {
    service_id id;
    service_kind kind = service_kind::chat;
    std::string path_prefix;           ///< plain services only
    double bound = 1.25;               ///< a server's load is kept below this multiple of the mean
    std::vector<std::string> versions; ///< model versions that the engines load; may be empty
    std::string serving; ///< the version that serves callers; empty if there are no versions
    bool fenced = false; ///< its engines reject orders with an old fencing number
    std::vector<server_config> servers;

    bool operator==(const service_config&) const = default;
};

/** The parsed content of one shard. It is immutable, so that configurations share it. */
struct config_shard_content {
    std::string name; ///< a hash of the document
    std::vector<service_config> services;
    account_table::bucket_ptr accounts; ///< null if the shard contains services only
};

/** A whole configuration, in force or planned. */
struct fleet_config {
    std::uint64_t revision = 0;
    std::vector<std::string> plans; ///< ids of the latest plans applied, newest last
    std::vector<service_config> services;
    account_table accounts;
    /** The shards from which it was parsed, in the order of the manifest. */
    std::vector<std::shared_ptr<const config_shard_content>> shards;

    [[nodiscard]] const service_config* find_service(const service_id& id) const;
};

} // namespace worksshift
