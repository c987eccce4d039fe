/** \file
 * A fake of the platform's object API (docs/platform-api.md) and VM list, in memory.
 *
 * Faults: `POST /control/faults` with `{"down":B,"slow_ms":N,"lose_answers":N,"lose_watches":N}`;
 * the response to a write is lost after the write took effect. `POST /control/restore` restores the
 * objects of the last `POST /control/backup`. `GET /control/calls` gives the number of calls.
 */
#include <list>
#include <map>

#include <nlohmann/json.hpp>

#include "fakes/fake_http.h"
#include "settings.h"

namespace {

using nlohmann::json;

constexpr const char* object_prefix = "/v1/objects/";

class fake_platform {
public:
    fake_platform(event_base* base, const worksshift::link_address& listen)
        : http(base, listen, [this](evhttp_request* request) { this->handle_request(request); }),
          poll_timer(base, [this] {
              this->expire_watches();
              this->answer_delayed_calls();
          })
    {
        this->poll_timer.start_every(worksshift::milliseconds(10));
    }

private:
    struct object {
        std::uint64_t version = 0;
        std::string value;
    };
    struct watch {
        evhttp_request* request = nullptr;
        std::string name;
        std::uint64_t after = 0;
        worksshift::instant until{};
        bool is_over = false;
    };

    /** A call whose response is delayed, as by a slow platform. */
    struct delayed {
        evhttp_request* request = nullptr;
        worksshift::instant due{};
        bool is_over = false;
    };

    void handle_request(evhttp_request* request)
    {
        const std::string path = fakes::path_of(request);
        if (path.starts_with("/control/")) {
            this->control(request, path);
        } else if (this->slow_ms > 0) {
            this->delay(request);
        } else {
            this->answer(request, path);
        }
    }

    void delay(evhttp_request* request)
    {
        const auto due = std::chrono::steady_clock::now() + worksshift::milliseconds(this->slow_ms);
        this->late.push_back(std::make_unique<delayed>(delayed{request, due, false}));
        const auto closed = [](evhttp_connection*, void* context) {
            static_cast<delayed*>(context)->is_over = true;
        };
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), closed,
                                      this->late.back().get());
    }

    void answer_delayed_calls()
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto& item : this->late) {
            if (item->is_over || item->due > now) continue;
            item->is_over = true;
            evhttp_connection_set_closecb(evhttp_request_get_connection(item->request), nullptr,
                                          nullptr);
            this->answer(item->request, fakes::path_of(item->request));
        }
        std::erase_if(this->late, [](const auto& item) { return item->is_over; });
    }

    void answer(evhttp_request* request, const std::string& path)
    {
        ++this->calls[path.starts_with(object_prefix)
                          ? (evhttp_request_get_command(request) == EVHTTP_REQ_PUT ? "write"
                                                                                   : "read")
                          : "vms"];
        if (this->down) {
            evhttp_connection_free(evhttp_request_get_connection(request));
            return;
        }
        if (path == "/v1/vms") {
            fakes::reply_json(request, 200, this->vms.dump());
        } else if (path.starts_with(object_prefix)) {
            this->handle_object(request, path.substr(std::string_view(object_prefix).size()));
        } else {
            fakes::reply_json(request, 404, "{}");
        }
    }

    void handle_object(evhttp_request* request, const std::string& name)
    {
        if (evhttp_request_get_command(request) == EVHTTP_REQ_PUT) {
            this->write(request, name);
            return;
        }
        const auto found = this->objects.find(name);
        const std::string after = fakes::query_of(request, "after");
        const std::uint64_t seen = after.empty() ? 0 : std::stoull(after);
        const bool changed = found != this->objects.end() && found->second.version != seen;
        if (!after.empty() && !changed) {
            const auto wait = worksshift::seconds(std::stoul(fakes::query_of(request, "wait_s")));
            this->watches.push_back(std::make_unique<watch>(
                watch{request, name, seen, std::chrono::steady_clock::now() + wait, false}));
            const auto closed = [](evhttp_connection*, void* context) {
                static_cast<watch*>(context)->is_over = true;
            };
            evhttp_connection_set_closecb(evhttp_request_get_connection(request), closed,
                                          this->watches.back().get());
            return;
        }
        if (found == this->objects.end()) {
            fakes::reply_json(request, 404, "{}");
            return;
        }
        send(request, found->second);
    }

    static void send(evhttp_request* request, const object& item)
    {
        evhttp_add_header(evhttp_request_get_output_headers(request), "X-Version",
                          std::to_string(item.version).c_str());
        fakes::reply_json(request, 200, item.value);
    }

    void write(evhttp_request* request, const std::string& name)
    {
        const std::uint64_t expected = std::stoull("0" + fakes::query_of(request, "if_version"));
        object& item = this->objects[name];
        if (item.version != expected) {
            fakes::reply_json(request, 409, "{}");
            return;
        }
        item.version = ++this->last_version;
        item.value = fakes::body_of(request);
        this->notify(name);
        if (this->lose_answers > 0) {
            --this->lose_answers;
            evhttp_connection_free(evhttp_request_get_connection(request));
            return;
        }
        evhttp_add_header(evhttp_request_get_output_headers(request), "X-Version",
                          std::to_string(item.version).c_str());
        fakes::reply_json(request, 200, "{}");
    }

    void notify(const std::string& name)
    {
        for (const auto& item : this->watches) {
            if (item->name != name || item->is_over) continue;
            if (this->lose_watches > 0) {
                --this->lose_watches;
                continue;
            }
            evhttp_connection_set_closecb(evhttp_request_get_connection(item->request), nullptr,
                                          nullptr);
            send(item->request, this->objects[name]);
            item->is_over = true;
        }
        std::erase_if(this->watches, [](const auto& item) { return item->is_over; });
    }

    void expire_watches()
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto& item : this->watches) {
            if (item->is_over || item->until > now) continue;
            evhttp_connection_set_closecb(evhttp_request_get_connection(item->request), nullptr,
                                          nullptr);
            evhttp_send_reply(item->request, 204, nullptr, nullptr);
            item->is_over = true;
        }
        std::erase_if(this->watches, [](const auto& item) { return item->is_over; });
    }

    void control(evhttp_request* request, const std::string& path)
    {
        const json body = json::parse(fakes::body_of(request), nullptr, false);
        if (path == "/control/vms") {
            this->vms = body;
        } else if (path == "/control/faults") {
            this->down = body.value("down", false);
            this->slow_ms = body.value("slow_ms", 0U);
            this->lose_answers = body.value("lose_answers", 0U);
            this->lose_watches = body.value("lose_watches", 0U);
        } else if (path == "/control/backup") {
            this->backup = this->objects;
        } else if (path == "/control/restore") {
            this->objects = this->backup;
            for (auto& [name, item] : this->objects) {
                item.version = ++this->last_version;
                this->notify(name);
            }
        } else if (path == "/control/calls") {
            fakes::reply_json(request, 200, json(this->calls).dump());
            return;
        }
        fakes::reply_json(request, 200, "{}");
    }

    fakes::fake_http http;
    worksshift::timer poll_timer;
    std::map<std::string, object> objects;
    std::map<std::string, object> backup;
    std::list<std::unique_ptr<watch>> watches;
    std::list<std::unique_ptr<delayed>> late;
    std::map<std::string, std::uint64_t> calls;
    json vms = json::array();
    std::uint64_t last_version = 0;
    bool down = false;
    std::uint32_t slow_ms = 0;
    std::uint32_t lose_answers = 0;
    std::uint32_t lose_watches = 0;
};

} // namespace

int main(int count, char** values)
{
    const fakes::arguments command_line(count, values);
    const worksshift::event_ptr<event_base> base(event_base_new());
    const fake_platform platform(
        base.get(),
        worksshift::parse_address("listen", command_line.text("listen", "127.0.0.1:9200")));
    fakes::run_until_stopped(base.get());
}
