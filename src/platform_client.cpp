#include "platform_client.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr duration call_timeout = milliseconds(1500);
constexpr duration queue_interval = milliseconds(50);
constexpr int watch_timeout_s = 30;
constexpr int status_ok = 200;
constexpr int status_unchanged = 204;
constexpr int status_missing = 404;
constexpr int status_conflict = 409;

object_status to_status(int status)
{
    switch (status) {
    case status_ok:
        return object_status::ok;
    case status_unchanged:
    case status_missing:
        return object_status::missing;
    case status_conflict:
        return object_status::conflict;
    default:
        return object_status::failed;
    }
}

object_result to_result(std::uint64_t id, const http_response& response)
{
    object_result result;
    result.id = id;
    result.status = to_status(response.status);
    const std::string version = response.header_value("X-Version");
    if (result.status == object_status::ok) {
        if (version.empty() || version.find_first_not_of("0123456789") != std::string::npos) {
            result.status = object_status::failed;
            return result;
        }
        result.version = std::stoull(version);
        result.value = response.body;
    }
    return result;
}

std::string object_path(const std::string& name)
{
    return "/v1/objects/" + name;
}

} // namespace

platform_client::platform_client(event_base* base, http_client& http, link_address address,
                                 double calls_per_second)
    : http(http), address(std::move(address)), calls_per_second(calls_per_second),
      queue_timer(base, [this] { this->run_queued(); })
{
}

void platform_client::refill()
{
    const instant now = std::chrono::steady_clock::now();
    if (this->budget_updated_at != instant{}) {
        const double elapsed_s =
            std::chrono::duration<double>(now - this->budget_updated_at).count();
        this->budget =
            std::min(platform_call_burst, this->budget + elapsed_s * this->calls_per_second);
    }
    this->budget_updated_at = now;
}

bool platform_client::spend_budget()
{
    this->refill();
    if (this->budget < 1) return false;
    this->budget -= 1;
    ++this->call_count;
    return true;
}

void platform_client::run(const object_call& call, object_handler handler)
{
    if (!this->spend_budget()) {
        handler({call.id, object_status::failed, 0, {}});
        return;
    }
    this->start(call, std::move(handler));
}

void platform_client::run_when_budget_allows(object_call call, object_handler handler)
{
    this->bulk_queue.push_back({std::move(call), std::move(handler)});
    this->run_queued();
}

void platform_client::run_queued()
{
    this->refill();
    while (!this->bulk_queue.empty() && this->budget >= reserved_platform_calls + 1) {
        queued_call next = std::move(this->bulk_queue.front());
        this->bulk_queue.pop_front();
        this->spend_budget();
        this->start(next.call, std::move(next.handler));
    }
    if (!this->bulk_queue.empty()) this->queue_timer.start_once(queue_interval);
}

void platform_client::start(const object_call& call, object_handler handler)
{
    const auto done = [id = call.id, handler = std::move(handler)](const http_response& response) {
        handler(to_result(id, response));
    };
    std::string path = object_path(call.name);
    if (call.write) path += "?if_version=" + std::to_string(call.expected_version);
    this->http.call(this->address, call.write ? "PUT" : "GET", path, {}, call.value, {call_timeout},
                    done);
}

void platform_client::watch(const std::string& name, std::uint64_t version, object_handler handler)
{
    if (!this->spend_budget()) {
        handler({0, object_status::failed, 0, {}});
        return;
    }
    const auto done = [handler = std::move(handler)](const http_response& response) {
        handler(to_result(0, response));
    };
    const std::string path = object_path(name) + "?after=" + std::to_string(version) +
                             "&wait_s=" + std::to_string(watch_timeout_s);
    this->http.call(this->address, "GET", path, {}, {}, {seconds(watch_timeout_s) + call_timeout},
                    done);
}

void platform_client::list_vms(list_handler handler)
{
    if (!this->spend_budget()) {
        handler(std::nullopt);
        return;
    }
    const auto done = [handler = std::move(handler)](const http_response& response) {
        if (response.status != status_ok) {
            handler(std::nullopt);
            return;
        }
        try {
            handler(parse_vm_list(response.body));
        } catch (const peer_error& fault) {
            log_event(log_level::warn, "vm_list_invalid",
                      {{"step", fault.step}, {"peer", fault.peer}, {"why", fault.what()}});
            handler(std::nullopt);
        }
    };
    this->http.call(this->address, "GET", "/v1/vms", {}, {}, {call_timeout}, done);
}

std::vector<listed_vm> parse_vm_list(const std::string& body)
{
    std::vector<listed_vm> list;
    try {
        for (const auto& entry : nlohmann::json::parse(body)) {
            listed_vm vm;
            vm.info.vm.text = entry.at("vm");
            vm.info.data_centre.text = entry.at("data_centre");
            vm.info.address = entry.at("address");
            vm.info.port = entry.at("port");
            vm.leaving = entry.value("leaving", false);
            list.push_back(std::move(vm));
        }
    } catch (const nlohmann::json::exception& fault) {
        throw peer_error("read VM list", "platform", fault.what());
    }
    return list;
}

} // namespace worksshift
