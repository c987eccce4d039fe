/** \file
 * The administration API over HTTP (docs/admin-api.md): plans, their confirmation and history, the
 * status and the configuration.
 *
 * Any VM can serve it. It reports the state as this VM sees it; changes go through config_writer.h.
 */
#pragma once

#include <functional>
#include <memory>

#include "config_writer.h"
#include "event_loop.h"
#include "http_listener.h"
#include "node.h"
#include "settings.h"

namespace worksshift {

class admin_api {
public:
    /** The account must live longer. */
    admin_api(event_base* base, const settings& options, node& core, platform_client& platform,
              config_writer& writer, memory_account& memory);
    ~admin_api();
    admin_api(const admin_api&) = delete;
    admin_api& operator=(const admin_api&) = delete;
    admin_api(admin_api&&) = delete;
    admin_api& operator=(admin_api&&) = delete;

    /** Frees closed connections. To be called regularly. */
    void sweep() { this->listener.sweep(); }
    /** Connections that were closed to make room. */
    [[nodiscard]] std::uint64_t closed_for_room() const { return this->listener.closed_for_room(); }

private:
    enum class role : std::uint8_t { none, viewer, operating };
    struct operator_token {
        std::string name;
        role allowed = role::none;
        std::string token;
    };
    struct pending_request;
    using pending_ptr = std::shared_ptr<pending_request>;

    void handle_request(evhttp_request* request);
    void route(evhttp_request* request, const std::string& path, const operator_token& token);
    [[nodiscard]] const operator_token* authenticate(evhttp_request* request) const;
    void create_plan(evhttp_request* request, const operator_token& token);
    void plan_rollback(const pending_ptr& pending, const std::string& plan_id,
                       const std::string& operator_name);
    void store_plan(const pending_ptr& pending, const nlohmann::json& intent_document,
                    const std::string& operator_name);
    void show_plan(evhttp_request* request, const std::string& id);
    void show_history(evhttp_request* request);
    void add_history(const pending_ptr& pending, std::vector<std::string> ids,
                     const nlohmann::json& plans);
    void confirm_plan(evhttp_request* request, const std::string& id);
    void bootstrap(evhttp_request* request);
    void show_status(evhttp_request* request);
    void show_config(evhttp_request* request);

    static pending_ptr defer_reply(evhttp_request* request);
    static void finish(const pending_ptr& pending, int status, const nlohmann::json& body);
    static void finish_change(const pending_ptr& pending, const std::string& plan_id,
                              const change_result& result);
    void read_plan(const pending_ptr& pending, const std::string& id,
                   const std::function<void(const plan&)>& then);

    const settings& options;
    node& core;
    platform_client& platform;
    config_writer& writer;
    std::vector<operator_token> tokens;
    http_listener listener;
};

} // namespace worksshift
