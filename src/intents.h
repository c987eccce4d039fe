/** \file
 * Intents: the changes of the configuration that operators can request, as typed values.
 *
 * An intent changes exactly one object of the configuration (a server, a service or a client
 * account), so two operators conflict only if they change the same object. The result of any intent
 * is validated like a configuration document.
 */
#pragma once

#include <optional>
#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "fleet_config.h"

namespace worksshift {

struct drain_server {
    server_id server;
    bool draining = true;
};
struct add_server {
    service_id service;
    server_config server;
};
struct remove_server {
    server_id server;
};
struct set_bound {
    service_id service;
    double bound = 0;
};
/** Sets whether the service's engines reject orders with an old fencing number. */
struct set_fencing {
    service_id service;
    bool fenced = false;
};
/** The engines load the version. It does not serve callers yet, unless it is the first of the
 * service. */
struct add_model_version {
    service_id service;
    std::string version;
};
/** Each engine uses the version for callers as soon as it has loaded it. */
struct serve_model_version {
    service_id service;
    std::string version;
};
/** The engines unload the version. */
struct retire_model_version {
    service_id service;
    std::string version;
};
struct add_account {
    account_config account;
};
struct remove_account {
    client_account_id account;
};
/** Changes the fields that have a value. */
struct set_account {
    client_account_id account;
    std::optional<double> weight;
    std::optional<std::uint32_t> reserved;
    std::optional<std::uint32_t> concurrency;
    std::optional<std::uint64_t> tokens_per_minute;
};
/** Restores one object to its state before an earlier plan; created by a rollback. */
struct restore_object {
    std::string touched;
    nlohmann::json document; ///< null: the object did not exist
};

using intent = std::variant<drain_server, add_server, remove_server, set_bound, set_fencing,
                            add_model_version, serve_model_version, retire_model_version,
                            add_account, remove_account, set_account, restore_object>;

/** Parses an intent. \throws user_error with step `intent`, the path and the value at fault. */
intent parse_intent(const nlohmann::json& value);

/** The one object that the intent changes, such as `server e1` or `client_account a`. */
std::string touched_object(const intent& requested);

/** The object's state as a document, null if it does not exist. The document of a service excludes
 * its servers. */
nlohmann::json object_document(const fleet_config& config, const std::string& touched);

/** Applies the intent to the configuration. \throws user_error when it does not fit, such as when
 * it names an unknown object. */
void apply_intent(fleet_config& config, const intent& requested, std::uint64_t unix_s);

} // namespace worksshift
