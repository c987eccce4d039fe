#include "config_documents.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <unordered_map>

#include "errors.h"
#include "json_reader.h"

namespace worksshift {

namespace {

using nlohmann::json;

constexpr double min_bound = 1.05;
constexpr double max_bound = 16;
constexpr std::size_t sha256_hex_length = 64;
constexpr std::uint64_t max_tokens_per_minute = 1'000'000'000'000;
constexpr const char* step = "configuration";

/** Reads a chat service's model versions. They must be distinct and include the serving one. */
void read_versions(json_reader& reader, service_config& service)
{
    if (reader.has("versions")) service.versions = reader.names("versions");
    service.serving = reader.text("serving", "");
    service.fenced = reader.flag("fenced", false);
    std::set<std::string> seen;
    for (const std::string& version : service.versions) {
        if (version.empty()) reader.fail("versions", "must not hold an empty name");
        if (!seen.insert(version).second) reader.fail("versions", "names " + version + " twice");
    }
    if (service.serving.empty() ? !seen.empty() : !seen.contains(service.serving)) {
        reader.fail("serving", "must be one of the versions, is " + json(service.serving).dump());
    }
    if (service.kind == service_kind::plain && !seen.empty()) {
        reader.fail("versions", "belong to chat services only");
    }
}

std::shared_ptr<const config_shard_content> read_shard(const std::string& name,
                                                       std::string_view content)
{
    if (shard_name(content) != name) fail_at(step, name, "does not match its hash");
    const json value = parse_json(content, step, name);
    json_reader reader(value, step, name);
    auto shard = std::make_shared<config_shard_content>();
    shard->name = name;
    if (reader.has("services")) {
        const json& services = reader.list("services");
        for (std::size_t i = 0; i < services.size(); ++i) {
            shard->services.push_back(
                read_service(services[i], element_path(name + ".services", i)));
        }
    }
    if (reader.has("accounts")) {
        auto bucket = std::make_shared<account_bucket>();
        bucket->shard = name;
        const json& accounts = reader.list("accounts");
        for (std::size_t i = 0; i < accounts.size(); ++i) {
            bucket->accounts.push_back(
                read_account(accounts[i], element_path(name + ".accounts", i)));
        }
        shard->accounts = std::move(bucket);
    }
    reader.finish();
    return shard;
}

void add_name(std::set<std::string>& seen, const std::string& name, const std::string& path)
{
    if (!seen.insert(name).second) fail_at(step, path, "names " + name + " twice");
}

void check_names(const std::vector<service_config>& services)
{
    std::set<std::string> service_names;
    std::set<std::string> server_names;
    for (const service_config& service : services) {
        add_name(service_names, service.id.text, "services");
        for (const server_config& server : service.servers) {
            add_name(server_names, server.id.text, "servers");
        }
    }
}

/** Collects the shards of a configuration and builds the manifest that names them. */
class document_writer {
public:
    void add(const json& content)
    {
        std::string text = content.dump();
        std::string name = shard_name(text);
        this->names.push_back(name);
        this->shards[std::move(name)] = std::move(text);
    }
    void add_unchanged(const std::string& name) { this->names.push_back(name); }

    config_documents finish(const fleet_config& config)
    {
        const json manifest{
            {"revision", config.revision}, {"shards", this->names}, {"plans", config.plans}};
        return {manifest.dump(), std::move(this->shards)};
    }

private:
    std::vector<std::string> names;
    shard_map shards;
};

/** Serialises a configuration without the content of account shards whose name is in \p known; the
 * manifest lists those shards as well. */
config_documents write_documents(const fleet_config& config, const std::set<std::string>& known)
{
    document_writer writer;
    for (const service_config& service : config.services) {
        writer.add({{"services", json::array({write_service(service)})}});
    }
    for (const auto& bucket : config.accounts.buckets()) {
        if (known.contains(bucket->shard)) {
            writer.add_unchanged(bucket->shard);
            continue;
        }
        json accounts = json::array();
        std::ranges::transform(bucket->accounts, std::back_inserter(accounts), write_account);
        if (!accounts.empty()) writer.add({{"accounts", accounts}});
    }
    return writer.finish(config);
}

} // namespace

parsed_manifest parse_manifest(std::string_view manifest)
{
    const json value = parse_json(manifest, step, "manifest");
    json_reader reader(value, step, "manifest");
    parsed_manifest result;
    result.revision = reader.integer("revision", 1, UINT64_MAX);
    result.shards = reader.names("shards");
    if (reader.has("plans")) result.plans = reader.names("plans");
    reader.finish();
    return result;
}

fleet_config parse_fleet_config(const config_documents& documents, const fleet_config* known)
{
    parsed_manifest manifest = parse_manifest(documents.manifest);
    std::unordered_map<std::string_view, std::shared_ptr<const config_shard_content>> known_shards;
    fleet_config config;
    if (known != nullptr) {
        config.accounts = known->accounts;
        for (const auto& shard : known->shards)
            known_shards.emplace(shard->name, shard);
    }
    config.revision = manifest.revision;
    config.plans = std::move(manifest.plans);
    std::vector<account_table::bucket_ptr> buckets;
    std::set<std::string> names;
    for (const std::string& name : manifest.shards) {
        add_name(names, name, "manifest.shards");
        const auto received = documents.shards.find(name);
        const auto parsed = known_shards.find(name);
        if (parsed == known_shards.end() && received == documents.shards.end()) {
            fail_at(step, "manifest.shards", "names missing " + name);
        }
        auto shard =
            parsed != known_shards.end() ? parsed->second : read_shard(name, received->second);
        std::ranges::copy(shard->services, std::back_inserter(config.services));
        if (shard->accounts != nullptr) buckets.push_back(shard->accounts);
        config.shards.push_back(std::move(shard));
    }
    check_names(config.services);
    config.accounts.set_buckets(buckets);
    return config;
}

std::string shard_name(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    std::array<char, 40> text{};
    const int length = std::snprintf(text.data(), text.size(), "shard-%016llx%016llx",
                                     static_cast<unsigned long long>(hash.high64),
                                     static_cast<unsigned long long>(hash.low64));
    return {text.data(), static_cast<std::size_t>(length)};
}

config_documents write_fleet_config(const fleet_config& config)
{
    return write_documents(config, {});
}

config_documents write_changed_config(const fleet_config& config, const fleet_config& known)
{
    std::set<std::string> names;
    std::ranges::transform(known.shards, std::inserter(names, names.end()),
                           [](const auto& shard) { return shard->name; });
    return write_documents(config, names);
}

json write_server(const server_config& server)
{
    return {{"id", server.id.text},           {"data_centre", server.data_centre.text},
            {"address", server.address},      {"port", server.port},
            {"limit", server.limit},          {"draining", server.draining},
            {"added_at_s", server.added_at_s}};
}

json write_service(const service_config& service)
{
    json servers = json::array();
    std::ranges::transform(service.servers, std::back_inserter(servers), write_server);
    json value{{"id", service.id.text},
               {"kind", service.kind == service_kind::chat ? "chat" : "plain"},
               {"path_prefix", service.path_prefix},
               {"bound", service.bound},
               {"servers", std::move(servers)}};
    if (!service.versions.empty()) value["versions"] = service.versions;
    if (!service.serving.empty()) value["serving"] = service.serving;
    if (service.fenced) value["fenced"] = true;
    return value;
}

json write_account(const account_config& account)
{
    json value{{"id", account.id.text},
               {"key_sha256", account.key_sha256},
               {"weight", account.weight},
               {"reserved", account.reserved},
               {"concurrency", account.concurrency}};
    if (account.tokens_per_minute > 0) value["tokens_per_minute"] = account.tokens_per_minute;
    return value;
}

service_config read_service(const json& value, const std::string& path)
{
    json_reader reader(value, step, path);
    service_config service;
    service.id.text = reader.text("id");
    const std::string kind = reader.text("kind", "chat");
    if (kind != "chat" && kind != "plain") reader.fail("kind", "must be chat or plain, is " + kind);
    service.kind = kind == "chat" ? service_kind::chat : service_kind::plain;
    service.path_prefix = reader.text("path_prefix", "");
    service.bound = reader.number("bound", min_bound, max_bound, 1.25);
    read_versions(reader, service);
    const json& servers = reader.list("servers");
    for (std::size_t i = 0; i < servers.size(); ++i) {
        service.servers.push_back(read_server(servers[i], element_path(path + ".servers", i)));
    }
    reader.finish();
    if (service.kind == service_kind::plain && !service.path_prefix.starts_with('/')) {
        reader.fail("path_prefix", "of a plain service must start with /");
    }
    return service;
}

server_config read_server(const json& value, const std::string& path)
{
    json_reader reader(value, step, path);
    server_config server;
    server.id.text = reader.text("id");
    server.data_centre.text = reader.text("data_centre");
    server.address = reader.text("address");
    server.port = static_cast<std::uint16_t>(reader.integer("port", 1, UINT16_MAX));
    server.limit = reader.integer32("limit", 1, 100'000);
    server.draining = reader.flag("draining", false);
    server.added_at_s = reader.integer("added_at_s", 0, UINT32_MAX, 0);
    reader.finish();
    if (server.id.empty()) reader.fail("id", "must not be empty");
    return server;
}

account_config read_account(const json& value, const std::string& path)
{
    json_reader reader(value, step, path);
    account_config account;
    account.id.text = reader.text("id");
    account.key_sha256 = reader.text("key_sha256");
    account.weight = reader.number("weight", 0.01, 1000, 1.0);
    account.reserved = reader.integer32("reserved", 0, 100'000, 0);
    account.concurrency = reader.integer32("concurrency", 0, 1'000'000, 0);
    account.tokens_per_minute = reader.integer("tokens_per_minute", 0, max_tokens_per_minute, 0);
    reader.finish();
    const bool hex = account.key_sha256.size() == sha256_hex_length &&
                     account.key_sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!hex) reader.fail("key_sha256", "must be 64 lower-case hex digits");
    if (account.id.empty()) reader.fail("id", "must not be empty");
    return account;
}

} // namespace worksshift
