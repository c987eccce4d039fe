#include "admin_api.h"

#include <algorithm>
#include <random>

#include <event2/http_struct.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include "parse_request.h"
#include "placement.h"

namespace worksshift {

namespace {

using nlohmann::json;

constexpr std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::string_view no_room_response =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::size_t max_history_entries = 20;
constexpr const char* plan_prefix = "/admin/plans/";
constexpr const char* confirm_suffix = "/confirm";

std::uint64_t unix_seconds()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<seconds>(since_epoch).count());
}

void reply(evhttp_request* request, int status, const json& body)
{
    event_ptr<evbuffer> buffer(evbuffer_new());
    const std::string serialized = body.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
    evbuffer_add(buffer.get(), serialized.data(), serialized.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evhttp_send_reply(request, status, nullptr, buffer.get());
}

json error_body(const std::string& code, const std::string& why, const std::string& step)
{
    return {{"error", {{"code", code}, {"message", why}, {"step", step}}}};
}

http_bounds bounds_for_operators(const settings& options, const memory_account& memory)
{
    http_bounds bounds;
    bounds.body_bytes = max_body_bytes;
    bounds.connections = memory.bounds().internal_connections / 2;
    bounds.idle_timeout = seconds(options.idle_timeout_s);
    bounds.no_room_response = no_room_response;
    return bounds;
}

std::string make_id()
{
    std::random_device device;
    constexpr std::string_view letters = "abcdefghijkmnpqrstuvwxyz23456789";
    constexpr std::size_t length = 12;
    std::string id = "p-";
    for (std::size_t i = 0; i < length; ++i)
        id += letters[device() % letters.size()];
    return id;
}

const char* state_name(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "";
}

int http_status(change_state state)
{
    switch (state) {
    case change_state::accepted:
        return 200;
    case change_state::unknown_plan:
        return 404;
    case change_state::conflict:
    case change_state::expired:
    case change_state::exists:
        return 409;
    case change_state::invalid:
        return 500;
    case change_state::platform_behind:
    case change_state::unanswered:
        return 503;
    }
    return 500;
}

const char* change_code(change_state state)
{
    switch (state) {
    case change_state::accepted:
        return "accepted";
    case change_state::unknown_plan:
        return "unknown_plan";
    case change_state::conflict:
        return "conflict";
    case change_state::expired:
        return "expired";
    case change_state::exists:
        return "exists";
    case change_state::invalid:
        return "bad_configuration";
    case change_state::platform_behind:
        return "platform_behind";
    case change_state::unanswered:
        return "platform";
    }
    return "";
}

} // namespace

/** A request whose reply waits for the platform; its caller may disconnect in the meantime. */
struct admin_api::pending_request {
    evhttp_request* request = nullptr;
    evhttp_connection* connection = nullptr;
    bool caller_gone = false;
};

admin_api::admin_api(event_base* base, const settings& options, node& core,
                     platform_client& platform, config_writer& writer, memory_account& memory)
    : options(options), core(core), platform(platform), writer(writer),
      listener(base, options.admin, "operators", bounds_for_operators(options, memory), memory)
{
    for (const std::string& entry : options.admin_tokens) {
        const std::size_t first = entry.find(':');
        const std::size_t second = entry.find(':', first + 1);
        const bool operating = entry.substr(first + 1, second - first - 1) == "operator";
        this->tokens.push_back({entry.substr(0, first), operating ? role::operating : role::viewer,
                                entry.substr(second + 1)});
    }
    this->listener.on_other_request(
        [this](evhttp_request* request) { this->handle_request(request); });
}

admin_api::~admin_api() = default;

const admin_api::operator_token* admin_api::authenticate(evhttp_request* request) const
{
    const char* value =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Authorization");
    constexpr std::string_view bearer = "Bearer ";
    if (value == nullptr || !std::string_view(value).starts_with(bearer)) return nullptr;
    const std::string presented = sha256_hex(std::string_view(value).substr(bearer.size()));
    const auto found = std::ranges::find_if(this->tokens, [&](const operator_token& candidate) {
        const std::string expected = sha256_hex(candidate.token);
        return CRYPTO_memcmp(expected.data(), presented.data(), expected.size()) == 0;
    });
    return found == this->tokens.end() ? nullptr : &*found;
}

void admin_api::handle_request(evhttp_request* request)
{
    const std::string path = evhttp_request_get_uri(request);
    const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    const operator_token* token = this->authenticate(request);
    log_event(log_level::info, "admin_call",
              {{"who", token == nullptr ? "unknown" : token->name},
               {"method", post ? "POST" : "GET"},
               {"path", path}});
    if (token == nullptr) {
        reply(request, 401,
              error_body("unknown_token", "give an operator's token", "authenticate"));
        return;
    }
    if (post && token->allowed != role::operating) {
        reply(request, 403, error_body("viewer", "a viewer cannot change anything", "authorize"));
        return;
    }
    this->route(request, path, *token);
}

void admin_api::route(evhttp_request* request, const std::string& path, const operator_token& token)
{
    const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    const bool plan_path = path.starts_with(plan_prefix);
    if (post && path == "/admin/plans") {
        this->create_plan(request, token);
    } else if (post && path == "/admin/bootstrap") {
        this->bootstrap(request);
    } else if (post && plan_path && path.ends_with(confirm_suffix)) {
        const std::string id = path.substr(std::string_view(plan_prefix).size());
        this->confirm_plan(request,
                           id.substr(0, id.size() - std::string_view(confirm_suffix).size()));
    } else if (!post && plan_path) {
        this->show_plan(request, path.substr(std::string_view(plan_prefix).size()));
    } else if (!post && path == "/admin/history") {
        this->show_history(request);
    } else if (!post && path == "/admin/status") {
        this->show_status(request);
    } else if (!post && path == "/admin/config") {
        this->show_config(request);
    } else {
        reply(request, 404, error_body("unknown_path", "there is no " + path, "route"));
    }
}

admin_api::pending_ptr admin_api::defer_reply(evhttp_request* request)
{
    auto pending = std::make_shared<pending_request>();
    pending->request = request;
    pending->connection = evhttp_request_get_connection(request);
    const auto closed = [](evhttp_connection*, void* context) {
        static_cast<pending_request*>(context)->caller_gone = true;
    };
    evhttp_connection_set_closecb(pending->connection, closed, pending.get());
    return pending;
}

void admin_api::finish(const pending_ptr& pending, int status, const json& body)
{
    if (pending->caller_gone) {
        if (evhttp_request_get_connection(pending->request) == nullptr) {
            evhttp_request_free(pending->request);
        }
        return;
    }
    evhttp_connection_set_closecb(pending->connection, nullptr, nullptr);
    reply(pending->request, status, body);
}

void admin_api::finish_change(const pending_ptr& pending, const std::string& plan_id,
                              const change_result& result)
{
    if (result.state == change_state::accepted) {
        finish(pending, 200, {{"plan", plan_id}, {"applied", true}, {"revision", result.revision}});
    } else {
        finish(pending, http_status(result.state),
               error_body(change_code(result.state), result.why, result.step));
    }
}

void admin_api::read_plan(const pending_ptr& pending, const std::string& id,
                          const std::function<void(const plan&)>& then)
{
    this->platform.run({0, plan_object(id), false, 0, {}}, [pending, id,
                                                            then](const object_result& r) {
        if (r.status == object_status::missing) {
            finish(pending, 404, error_body("unknown_plan", "there is no plan " + id, "read plan"));
            return;
        }
        if (r.status != object_status::ok) {
            finish(pending, 503,
                   error_body("platform", "the platform did not answer", "read plan"));
            return;
        }
        try {
            then(parse_plan(r.value));
        } catch (const user_error& fault) {
            finish(pending, 500, error_body("bad_plan", fault.what(), fault.step));
        }
    });
}

void admin_api::create_plan(evhttp_request* request, const operator_token& token)
{
    const pending_ptr pending = defer_reply(request);
    if (this->core.config().config == nullptr) {
        finish(pending, 503,
               error_body("no_configuration", "there is no configuration yet", "plan"));
        return;
    }
    const json intent_document =
        json::parse(read_all(evhttp_request_get_input_buffer(request)), nullptr, false);
    const bool rollback = intent_document.is_object() &&
                          intent_document.value("kind", json()) == "rollback" &&
                          intent_document.value("plan", json()).is_string();
    if (rollback) {
        this->plan_rollback(pending, intent_document["plan"].get<std::string>(), token.name);
    } else {
        this->store_plan(pending, intent_document, token.name);
    }
}

void admin_api::plan_rollback(const pending_ptr& pending, const std::string& plan_id,
                              const std::string& operator_name)
{
    this->read_plan(pending, plan_id, [this, pending, operator_name](const plan& earlier) {
        if (!is_applied(this->core.config().config->plans, earlier.id)) {
            finish(
                pending, 409,
                error_body("not_applied", "plan " + earlier.id + " is not in force", "rollback"));
            return;
        }
        this->store_plan(pending, undo_intent(earlier), operator_name);
    });
}

void admin_api::store_plan(const pending_ptr& pending, const json& intent_document,
                           const std::string& operator_name)
{
    plan created;
    try {
        created = make_plan(*this->core.config().config, intent_document, make_id(), operator_name,
                            unix_seconds());
    } catch (const user_error& fault) {
        finish(pending, 400, error_body("bad_intent", fault.what(), fault.step));
        return;
    }
    const json document = write_plan(created);
    const object_call write{0, plan_object(created.id), true, 0, document.dump()};
    this->platform.run(write, [pending, document](const object_result& result) {
        if (result.status == object_status::ok) {
            finish(pending, 201, document);
        } else {
            finish(pending, 503,
                   error_body("platform", "the plan could not be stored", "store plan"));
        }
    });
}

void admin_api::show_plan(evhttp_request* request, const std::string& id)
{
    const pending_ptr pending = defer_reply(request);
    this->read_plan(pending, id, [this, pending](const plan& found) {
        json body = write_plan(found);
        const auto& config = this->core.config().config;
        body["applied"] = config != nullptr && is_applied(config->plans, found.id);
        finish(pending, 200, body);
    });
}

void admin_api::show_history(evhttp_request* request)
{
    const pending_ptr pending = defer_reply(request);
    std::vector<std::string> ids;
    if (this->core.config().config != nullptr) ids = this->core.config().config->plans;
    if (ids.size() > max_history_entries) {
        ids.erase(ids.begin(), ids.end() - static_cast<std::ptrdiff_t>(max_history_entries));
    }
    this->add_history(pending, std::move(ids), json::array());
}

/** Reads the plans sequentially, the newest first, and replies when all have been read. */
void admin_api::add_history(const pending_ptr& pending, std::vector<std::string> ids,
                            const json& plans)
{
    if (ids.empty()) {
        finish(pending, 200, plans);
        return;
    }
    const std::string id = ids.back();
    ids.pop_back();
    this->read_plan(pending, id, [this, pending, ids, plans](const plan& found) {
        json extended = plans;
        extended.push_back({{"plan", found.id},
                            {"who", found.who},
                            {"created_at_s", found.created_at_s},
                            {"changes", found.changes}});
        this->add_history(pending, ids, extended);
    });
}

void admin_api::confirm_plan(evhttp_request* request, const std::string& id)
{
    const pending_ptr pending = defer_reply(request);
    this->writer.confirm(id, unix_seconds(), [pending, id](const change_result& result) {
        finish_change(pending, id, result);
    });
}

void admin_api::bootstrap(evhttp_request* request)
{
    const pending_ptr pending = defer_reply(request);
    const std::string text = read_all(evhttp_request_get_input_buffer(request));
    fleet_config first;
    try {
        const std::string name = shard_name(text);
        const json manifest{{"revision", 1}, {"shards", {name}}};
        first = parse_fleet_config({manifest.dump(), {{name, text}}});
    } catch (const user_error& fault) {
        finish(pending, 400, error_body("bad_configuration", fault.what(), fault.step));
        return;
    }
    // The single uploaded document is split into one shard for each bucket of accounts.
    std::vector<account_config> accounts;
    for (const auto& bucket : first.accounts.buckets())
        std::ranges::copy(bucket->accounts, std::back_inserter(accounts));
    first.accounts.assign(std::move(accounts));
    this->writer.bootstrap(
        first, [pending](const change_result& result) { finish_change(pending, {}, result); });
}

void admin_api::show_status(evhttp_request* request)
{
    const tables& t = this->core.data();
    // The revision that the last tick applied and that serves callers. Newer documents may already
    // have been received.
    const std::uint64_t in_force = t.config->revision;
    json vms = json::array();
    vms.push_back({{"vm", t.self.text},
                   {"state", t.leaving ? "leaving" : "alive"},
                   {"data_centre", this->options.data_centre.text},
                   {"revision", in_force}});
    for (const auto& [vm, row] : this->core.members().members()) {
        vms.push_back({{"vm", vm.text},
                       {"state", state_name(row.info.state)},
                       {"data_centre", row.info.data_centre.text},
                       {"revision", row.config_revision}});
    }
    json servers = json::array();
    for (const auto& [id, service] : t.services) {
        const double mean = mean_load(t, service, 0);
        for (const server_id& name : service.servers) {
            const server_row& server = t.servers.at(name);
            const auto gate = t.gates.find(name);
            servers.push_back({{"server", name.text},
                               {"service", id.text},
                               {"gate", gate_of(server).text},
                               {"running", server.load.running},
                               {"load", server.load.cost},
                               {"mean_load", mean},
                               {"bound", service.config.bound},
                               {"limit", server.config.limit},
                               {"accepting", server.load.accepting},
                               {"draining", server.config.draining},
                               {"waiting", gate == t.gates.end() ? 0 : gate->second.queue.size()},
                               {"share", gate == t.gates.end() ? 0.0 : gate->second.share}});
        }
    }
    json alarms = json::array();
    if (this->core.config().lower_revisions_seen > 0) {
        alarms.push_back("the platform or a VM showed a lower revision than the one in force");
    }
    if (this->core.config().invalid_documents_seen > 0)
        alarms.push_back("an invalid configuration was seen");
    reply(request, 200,
          {{"vm", t.self.text},
           {"revision", in_force},
           {"vms", vms},
           {"servers", servers},
           {"requests", t.requests.size()},
           {"chats", t.chats.size()},
           {"alarms", alarms}});
}

void admin_api::show_config(evhttp_request* request)
{
    const config_documents& documents = this->core.config().documents;
    if (documents.manifest.empty()) {
        reply(request, 503,
              error_body("no_configuration", "there is no configuration yet", "read"));
        return;
    }
    json shards = json::array();
    for (const auto& [name, content] : documents.shards)
        shards.push_back(json::parse(content));
    reply(request, 200, {{"manifest", json::parse(documents.manifest)}, {"shards", shards}});
}

} // namespace worksshift
