/** \file
 * The administration API over HTTP (docs/admin-api.md): plans, confirmation, history, status.
 *
 * Any VM can serve it. It reports the state as this VM sees it; changes go through config_writer.h.
 */
#pragma once

#include <functional>
#include <memory>

#include "config_writer.h"
#include "event_loop.h"
#include "node.h"
#include "settings.h"

namespace worksshift {

class admin_api {
public:
    admin_api(event_base* base, const settings& options, node& core, platform_client& platform,
              config_writer& writer);
    ~admin_api();
    admin_api(const admin_api&) = delete;
    admin_api& operator=(const admin_api&) = delete;
    admin_api(admin_api&&) = delete;
    admin_api& operator=(admin_api&&) = delete;

private:
    enum class role : std::uint8_t { none, viewer, operating };
    struct operator_token {
        std::string name;
        role allowed = role::none;
        std::string token;
    };
    struct call;
    using call_ptr = std::shared_ptr<call>;

    void handle_request(evhttp_request* request);
    void route(evhttp_request* request, const std::string& path, const operator_token& who);
    [[nodiscard]] const operator_token* authenticate(evhttp_request* request) const;
    void create_plan(evhttp_request* request, const operator_token& who);
    void plan_rollback(const call_ptr& item, const std::string& plan_id, const std::string& who);
    void store_plan(const call_ptr& item, const nlohmann::json& wanted, const std::string& who);
    void show_plan(evhttp_request* request, const std::string& id);
    void show_history(evhttp_request* request);
    void add_history(const call_ptr& item, std::vector<std::string> ids,
                     const nlohmann::json& shown);
    void confirm_plan(evhttp_request* request, const std::string& id);
    void bootstrap(evhttp_request* request);
    void show_status(evhttp_request* request);
    void show_config(evhttp_request* request);

    static call_ptr start_call(evhttp_request* request);
    static void finish(const call_ptr& item, int status, const nlohmann::json& body);
    static void finish_change(const call_ptr& item, const std::string& plan_id,
                              const change_result& result);
    void read_plan(const call_ptr& item, const std::string& id,
                   const std::function<void(const plan&)>& then);

    const settings& options;
    node& core;
    platform_client& platform;
    config_writer& writer;
    std::vector<operator_token> tokens;
    event_ptr<evhttp> server;
};

} // namespace worksshift
