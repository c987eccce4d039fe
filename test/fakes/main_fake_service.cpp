/** \file
 * A fake plain service. `POST …/tickets` creates a ticket and counts how often each body was run;
 * `GET` echoes the path; `GET /stats` gives the counts; `--delay-ms` delays responses;
 * `POST /fault?mode=close&count=N` makes the next N calls run and then close without a response,
 * `POST /fault?mode=raw&count=N` makes them send the bytes of its body as their response.
 */
#include <map>

#include <nlohmann/json.hpp>

#include "fakes/fake_http.h"
#include "settings.h"

namespace {

class fake_service {
public:
    fake_service(event_base* base, const worksshift::link_address& listen, std::uint32_t delay_ms)
        : base(base), delay_ms(delay_ms),
          http(base, listen, [this](evhttp_request* request) { this->handle_request(request); })
    {
    }

private:
    struct delayed {
        fake_service* owner = nullptr;
        evhttp_request* request = nullptr;
        int status = 200;
        std::string body;
    };

    void handle_request(evhttp_request* request)
    {
        const std::string path = fakes::path_of(request);
        if (path == "/stats") {
            std::uint32_t max_runs = 0;
            for (const auto& [body, count] : this->runs)
                max_runs = std::max(max_runs, count);
            const nlohmann::json stats{
                {"bodies", this->runs.size()}, {"most_runs", max_runs}, {"runs", this->runs}};
            fakes::reply_json(request, 200, stats.dump());
        } else if (path == "/fault") {
            this->faults_left =
                static_cast<std::uint32_t>(std::stoul(fakes::query_of(request, "count")));
            this->raw_response =
                fakes::query_of(request, "mode") == "raw" ? fakes::body_of(request) : "";
            fakes::reply_json(request, 200, "{}");
        } else if (evhttp_request_get_command(request) == EVHTTP_REQ_POST) {
            this->create(request);
        } else {
            fakes::reply_json(request, 200, nlohmann::json{{"path", path}}.dump());
        }
    }

    void create(evhttp_request* request)
    {
        const std::string body = fakes::body_of(request);
        ++this->runs[body];
        if (this->faults_left > 0) {
            --this->faults_left;
            fakes::reply_raw(request, this->raw_response);
            return;
        }
        const nlohmann::json answer{{"ticket", ++this->tickets}, {"for", body}};
        auto* pending = new delayed{this, request, 201, answer.dump()};
        const auto answer_now = [](evutil_socket_t, short, void* context) {
            const std::unique_ptr<delayed> item(static_cast<delayed*>(context));
            fakes::reply_json(item->request, item->status, item->body);
        };
        const timeval wait = worksshift::to_timeval(worksshift::milliseconds(this->delay_ms));
        event_base_once(this->base, -1, EV_TIMEOUT, answer_now, pending, &wait);
    }

    event_base* base;
    std::uint32_t delay_ms;
    fakes::fake_http http;
    std::map<std::string, std::uint32_t> runs;
    std::uint32_t tickets = 0;
    std::uint32_t faults_left = 0;
    std::string raw_response; ///< of calls that fail; empty: they close without a response
};

} // namespace

int main(int count, char** values)
{
    const fakes::arguments command_line(count, values);
    const worksshift::event_ptr<event_base> base(event_base_new());
    const fake_service service(
        base.get(),
        worksshift::parse_address("listen", command_line.text("listen", "127.0.0.1:9100")),
        command_line.number("delay-ms", 0));
    fakes::run_until_stopped(base.get());
}
