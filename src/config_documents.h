/** \file
 * The configuration as documents: the format in which it is stored, validated and sent.
 *
 * A configuration consists of a manifest (its revision, the names of its shards and the ids of the
 * latest plans applied) and of shards named by the hash of their content. Shards are immutable, so
 * one conditional write of the manifest changes the configuration atomically. A VM fetches and
 * parses only the shards that it lacks, and writes only those that changed, so the cost of a change
 * does not depend on the number of accounts. docs/configuration.md gives the schema.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet_config.h"

namespace worksshift {

/** Content of shards by name. */
using shard_map = std::map<std::string, std::string>;

/** The documents of one configuration as stored. Shards that the receiver already holds may be left
 * out. */
struct config_documents {
    std::string manifest;
    shard_map shards;
};

/** The content of a manifest. */
struct parsed_manifest {
    std::uint64_t revision = 0;
    std::vector<std::string> shards;
    std::vector<std::string> plans;
};

/** \throws user_error with the path and the value at fault. */
parsed_manifest parse_manifest(std::string_view manifest);

/** Parses and validates a whole configuration. Rejects unknown fields, values out of range,
 * duplicate names and references to missing shards. Shards from which \p known was parsed are
 * shared with it and need no document. \throws user_error with the path and the value at fault. */
fleet_config parse_fleet_config(const config_documents& documents,
                                const fleet_config* known = nullptr);

/** The name under which a shard is stored: a hash of its content. */
std::string shard_name(std::string_view content);

/** Serialises a configuration. Each service and each bucket of accounts has its own shard, so that
 * a change of one server or account rewrites one small shard. */
config_documents write_fleet_config(const fleet_config& config);

/** Like write_fleet_config, but without the content of account shards from which \p known was
 * parsed. */
config_documents write_changed_config(const fleet_config& config, const fleet_config& known);

/** Conversion of single objects of the configuration to and from JSON, also used by plans. */
nlohmann::json write_service(const service_config& service);
nlohmann::json write_server(const server_config& server);
nlohmann::json write_account(const account_config& account);
service_config read_service(const nlohmann::json& value, const std::string& path);
server_config read_server(const nlohmann::json& value, const std::string& path);
account_config read_account(const nlohmann::json& value, const std::string& path);

} // namespace worksshift
