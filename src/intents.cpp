#include "intents.h"

#include <algorithm>
#include <map>

#include "config_documents.h"
#include "errors.h"
#include "json_reader.h"

namespace worksshift {

namespace {

using nlohmann::json;

constexpr const char* step = "intent";
constexpr const char* server_prefix = "server ";
constexpr const char* service_prefix = "service ";
constexpr const char* account_prefix = "client_account ";

using parser = intent (*)(json_reader&);

drain_server read_drain(json_reader& reader, bool draining)
{
    return {{reader.text("server")}, draining};
}

template <class Intent>
Intent read_version(json_reader& reader)
{
    return {{reader.text("service")}, reader.text("version")};
}

/** An optional unsigned integer field; std::nullopt if absent. */
template <class Number>
std::optional<Number> optional_integer(json_reader& reader, const char* name)
{
    if (!reader.has(name)) return std::nullopt;
    return static_cast<Number>(reader.integer(name, 0, std::numeric_limits<Number>::max()));
}

intent read_set_account(json_reader& reader)
{
    set_account result;
    result.account.text = reader.text("client_account");
    if (reader.has("weight")) result.weight = reader.number("weight", 0.01, 1000);
    result.reserved = optional_integer<std::uint32_t>(reader, "reserved");
    result.concurrency = optional_integer<std::uint32_t>(reader, "concurrency");
    result.tokens_per_minute = optional_integer<std::uint64_t>(reader, "tokens_per_minute");
    return result;
}

const std::map<std::string, parser, std::less<>>& parsers()
{
    static const std::map<std::string, parser, std::less<>> all{
        {"drain_server", [](json_reader& r) -> intent { return read_drain(r, true); }},
        {"undrain_server", [](json_reader& r) -> intent { return read_drain(r, false); }},
        {"add_server",
         [](json_reader& r) -> intent {
             return add_server{{r.text("service")}, read_server(r.object("server"), "server")};
         }},
        {"remove_server",
         [](json_reader& r) -> intent { return remove_server{{r.text("server")}}; }},
        {"set_bound",
         [](json_reader& r) -> intent {
             return set_bound{{r.text("service")}, r.number("bound", 0, 1000)};
         }},
        {"set_fencing",
         [](json_reader& r) -> intent {
             return set_fencing{{r.text("service")}, r.flag("fenced", false)};
         }},
        {"add_model_version",
         [](json_reader& r) -> intent { return read_version<add_model_version>(r); }},
        {"serve_model_version",
         [](json_reader& r) -> intent { return read_version<serve_model_version>(r); }},
        {"retire_model_version",
         [](json_reader& r) -> intent { return read_version<retire_model_version>(r); }},
        {"add_account",
         [](json_reader& r) -> intent {
             return add_account{read_account(r.object("client_account"), "client_account")};
         }},
        {"remove_account",
         [](json_reader& r) -> intent { return remove_account{{r.text("client_account")}}; }},
        {"set_account", read_set_account},
        {"restore_object",
         [](json_reader& r) -> intent {
             restore_object result{r.text("touched"), nullptr};
             if (r.has("document")) result.document = r.object("document");
             return result;
         }},
    };
    return all;
}

/** A server and its service; both null if there is no such server. */
struct server_location {
    service_config* service = nullptr;
    server_config* server = nullptr;
};

server_location find_server(fleet_config& config, const server_id& id)
{
    for (service_config& service : config.services) {
        const auto found = std::ranges::find(service.servers, id, &server_config::id);
        if (found != service.servers.end()) return {&service, &*found};
    }
    return {};
}

server_location require_server(fleet_config& config, const server_id& id)
{
    const server_location location = find_server(config, id);
    if (location.server == nullptr) fail_at(step, "server", "there is no server " + id.text);
    return location;
}

service_config& require_service(fleet_config& config, const service_id& id)
{
    const auto found = std::ranges::find(config.services, id, &service_config::id);
    if (found == config.services.end()) fail_at(step, "service", "there is no service " + id.text);
    return *found;
}

account_config require_account(const fleet_config& config, const client_account_id& id)
{
    const account_config* account = config.accounts.find(id);
    if (account == nullptr) fail_at(step, "client_account", "there is no account " + id.text);
    return *account;
}

void erase_server(const server_location& location)
{
    auto& servers = location.service->servers;
    servers.erase(servers.begin() + (location.server - servers.data()));
}

/** The name that follows the prefix \p kind; std::nullopt if the object is of another kind. */
std::optional<std::string> name_of(const std::string& touched, std::string_view kind)
{
    if (!touched.starts_with(kind)) return std::nullopt;
    return touched.substr(kind.size());
}

json service_settings(const service_config& service)
{
    json document = write_service(service);
    document.erase("servers");
    return document;
}

void restore_server(fleet_config& config, const server_id& id, const json& document)
{
    const server_location old = find_server(config, id);
    if (old.server != nullptr) erase_server(old);
    if (document.is_null()) return;
    service_config& service = require_service(config, {document.at("service").get<std::string>()});
    service.servers.push_back(read_server(document.at("server"), "document.server"));
}

void restore_service(fleet_config& config, const service_id& id, json document)
{
    service_config& service = require_service(config, id);
    document["servers"] = json::array();
    std::vector<server_config> servers = std::move(service.servers);
    service = read_service(document, "document");
    service.servers = std::move(servers);
}

void restore_account(fleet_config& config, const client_account_id& id, const json& document)
{
    if (document.is_null()) {
        config.accounts.erase(id);
    } else {
        config.accounts.set(read_account(document, "document"));
    }
}

/** Visitor with one overload for each kind of intent. */
struct intent_applier {
    fleet_config& config;
    std::uint64_t unix_s;

    void operator()(const drain_server& requested) const
    {
        require_server(this->config, requested.server).server->draining = requested.draining;
    }
    void operator()(const add_server& requested) const
    {
        server_config server = requested.server;
        server.added_at_s = this->unix_s;
        require_service(this->config, requested.service).servers.push_back(std::move(server));
    }
    void operator()(const remove_server& requested) const
    {
        erase_server(require_server(this->config, requested.server));
    }
    void operator()(const set_bound& requested) const
    {
        require_service(this->config, requested.service).bound = requested.bound;
    }
    void operator()(const set_fencing& requested) const
    {
        require_service(this->config, requested.service).fenced = requested.fenced;
    }
    void operator()(const add_model_version& requested) const
    {
        service_config& service = require_service(this->config, requested.service);
        service.versions.push_back(requested.version);
        if (service.serving.empty()) service.serving = requested.version;
    }
    void operator()(const serve_model_version& requested) const
    {
        require_service(this->config, requested.service).serving = requested.version;
    }
    void operator()(const retire_model_version& requested) const
    {
        service_config& service = require_service(this->config, requested.service);
        if (service.serving == requested.version) {
            fail_at(step, "version",
                    "callers are served by " + requested.version +
                        "; let another version serve first");
        }
        if (std::erase(service.versions, requested.version) == 0) {
            fail_at(step, "version", service.id.text + " has no version " + requested.version);
        }
    }
    void operator()(const add_account& requested) const
    {
        if (this->config.accounts.find(requested.account.id) != nullptr) {
            fail_at(step, "client_account.id", "there is an account " + requested.account.id.text);
        }
        this->config.accounts.set(requested.account);
    }
    void operator()(const remove_account& requested) const
    {
        require_account(this->config, requested.account);
        this->config.accounts.erase(requested.account);
    }
    void operator()(const set_account& requested) const
    {
        account_config account = require_account(this->config, requested.account);
        account.weight = requested.weight.value_or(account.weight);
        account.reserved = requested.reserved.value_or(account.reserved);
        account.concurrency = requested.concurrency.value_or(account.concurrency);
        account.tokens_per_minute = requested.tokens_per_minute.value_or(account.tokens_per_minute);
        this->config.accounts.set(std::move(account));
    }
    void operator()(const restore_object& requested) const
    {
        if (const auto server = name_of(requested.touched, server_prefix)) {
            restore_server(this->config, {*server}, requested.document);
        } else if (const auto service = name_of(requested.touched, service_prefix)) {
            restore_service(this->config, {*service}, requested.document);
        } else if (const auto account = name_of(requested.touched, account_prefix)) {
            restore_account(this->config, {*account}, requested.document);
        } else {
            fail_at(step, "touched", "is not an object: " + requested.touched);
        }
    }
};

} // namespace

intent parse_intent(const json& value)
{
    json_reader reader(value, step, "");
    const std::string kind = reader.text("kind");
    const auto found = parsers().find(kind);
    if (found == parsers().end()) {
        std::string known;
        for (const auto& [name, unused] : parsers())
            known += (known.empty() ? "" : ", ") + name;
        reader.fail("kind", "must be one of " + known + "; is " + kind);
    }
    intent requested = found->second(reader);
    reader.finish();
    return requested;
}

std::string touched_object(const intent& requested)
{
    return std::visit(
        []<class Intent>(const Intent& typed) -> std::string {
            if constexpr (std::is_same_v<Intent, restore_object>) {
                return typed.touched;
            } else if constexpr (std::is_same_v<Intent, add_server>) {
                return server_prefix + typed.server.id.text;
            } else if constexpr (requires { typed.server; }) {
                return server_prefix + typed.server.text;
            } else if constexpr (requires { typed.service; }) {
                return service_prefix + typed.service.text;
            } else if constexpr (std::is_same_v<Intent, add_account>) {
                return account_prefix + typed.account.id.text;
            } else {
                return account_prefix + typed.account.text;
            }
        },
        requested);
}

json object_document(const fleet_config& config, const std::string& touched)
{
    if (const auto id = name_of(touched, account_prefix)) {
        const account_config* account = config.accounts.find({*id});
        return account == nullptr ? json() : write_account(*account);
    }
    if (const auto id = name_of(touched, service_prefix)) {
        const service_config* service = config.find_service({*id});
        return service == nullptr ? json() : service_settings(*service);
    }
    const auto id = name_of(touched, server_prefix);
    if (!id) return {};
    for (const service_config& service : config.services) {
        const auto found = std::ranges::find(service.servers, server_id{*id}, &server_config::id);
        if (found == service.servers.end()) continue;
        return {{"service", service.id.text}, {"server", write_server(*found)}};
    }
    return {};
}

void apply_intent(fleet_config& config, const intent& requested, std::uint64_t unix_s)
{
    try {
        std::visit(intent_applier{config, unix_s}, requested);
    } catch (const json::exception& fault) {
        fail_at(step, "document", fault.what());
    }
}

} // namespace worksshift
