/** \file
 * Soak: routers as separate processes under a drawn series of faults from outside, while callers
 * ask all the time. What callers and servers see is checked as it comes.
 *
 *     soak [--first SEED] [--seeds N] [--seconds S]
 *
 * Faults come in series and overlap: routers are killed, stopped as planned, paused and started
 * again; the store refuses, goes silent, loses waiting calls and its history; servers break off,
 * refuse, answer rubbish, leave and join; the configuration changes. Exit status 1 when a promise
 * was broken; each line of a broken one names its seed.
 */
#include <array>
#include <charconv>
#include <csignal>
#include <iostream>
#include <map>
#include <random>

#include "log.h"
#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;
using then = scripted_answer::then;

constexpr std::size_t router_count = 6;
constexpr std::size_t server_count = 4; ///< of each service
constexpr std::size_t callers_at_once = 24;
constexpr duration fault_period = milliseconds(250);
constexpr duration request_at_most = seconds(4); ///< the example's deadline, and time to tell of it
/** After the store confirmed it, the longest time until a change is in force. */
constexpr duration in_force_within = seconds(3);
constexpr duration recovered_within = seconds(10);

instant now()
{
    return std::chrono::steady_clock::now();
}

/** One request under way. */
struct asked {
    std::string id;
    std::string target;
    std::size_t router = 0;
    std::unique_ptr<raw_caller> caller;
    instant since{};
};

class soak {
public:
    soak(std::uint64_t seed, duration span)
        : seed(seed), span(span), random(seed), fleet(router_count)
    {
    }

    /** Number of broken promises. */
    std::size_t run()
    {
        this->prepare();
        const instant end = now() + this->span;
        instant next_fault = now();
        while (now() < end) {
            if (now() >= next_fault) {
                this->disturb();
                next_fault = now() + fault_period;
            }
            this->step();
        }
        this->recover();
        return this->broken;
    }

    std::size_t requests = 0;
    std::size_t served = 0;

private:
    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(this->random);
    }

    void report(const std::string& what)
    {
        ++this->broken;
        std::cout << "seed=" << this->seed << " broken=\"" << what << "\"" << std::endl;
    }

    void prepare()
    {
        this->fleet.set_config(example_config(++this->version));
        for (std::size_t i = 0; i < server_count; ++i) {
            this->add_server("desk");
            this->add_server("llm");
        }
        this->fleet.start_all();
        if (!this->fleet.all_ready()) this->report("not ready after the start");
    }

    void add_server(const std::string& service)
    {
        const std::string id = service + std::to_string(this->next_server++);
        this->fleet.add_server(id, service, [this, id](const std::string& request) {
            return this->serve(id, request);
        });
        this->listed.push_back(id);
    }

    /** Answers as drawn, and notes the run. */
    scripted_answer serve(const std::string& server, const std::string& request)
    {
        const std::string id = header_in(request, "x-request-id");
        const auto left = this->left_at.find(server);
        const bool late = left != this->left_at.end() && now() - left->second > in_force_within &&
                          this->calm_for(in_force_within);
        if (late) this->report("new work for " + server + " after it had left, request " + id);
        const std::size_t conduct = now() < this->servers_fail_until ? this->draw(8) : 7;
        if (conduct == 0) {
            return {answer_text(503, request, "", "X-Not-Executed: 1\r\n"), then::keep};
        }
        ++this->runs[id];
        const bool stream =
            request.starts_with("POST /stream") || request.starts_with("POST /once");
        std::string text = answer_text(200, request, "answer to " + id);
        if (stream) {
            const std::string last = header_in(request, "last-event-id");
            text = stream_head(request);
            for (unsigned event = last.empty() ? 1 : std::stoul(last) + 1; event <= 4; ++event)
                text += event_chunk(event, id);
            text += "0\r\n\r\n";
        }
        switch (conduct) {
        case 1:
            return {text.substr(0, text.size() - 5), then::close};
        case 2:
            return {"rubbish\r\n\r\n", then::keep};
        case 3:
            return {text.substr(0, text.size() / 2), then::reset};
        case 4:
            return {text + text, then::keep};
        case 5:
            return {"", then::stay_silent};
        default:
            return {text, then::keep};
        }
    }

    /** Whether neither the store nor a router was disturbed for so long. */
    bool calm_for(duration wanted) const { return now() - this->disturbed_at > wanted; }

    void disturb()
    {
        const std::size_t router = this->draw(router_count);
        switch (this->draw(12)) {
        case 0:
            this->kill(router);
            break;
        case 1:
            this->fleet.routers[router].signal(SIGTERM);
            this->touch();
            break;
        case 2:
            this->fleet.routers[router].signal(SIGSTOP);
            this->paused[router] = now() + milliseconds(200 + this->draw(1500));
            this->touch();
            break;
        case 3:
            this->fleet.store->fault = static_cast<fakes::store_fault>(this->draw(4));
            this->touch();
            break;
        case 4:
            this->fleet.store->lose_waiting();
            this->touch();
            break;
        case 5:
            this->fleet.store->forget_history();
            this->touch();
            break;
        case 6:
            this->servers_fail_until = now() + milliseconds(500 + this->draw(1500));
            break;
        case 7:
            this->leave();
            break;
        case 8:
            this->add_server(this->draw(2) == 0 ? "desk" : "llm");
            break;
        case 9:
            this->fleet.set_config(example_config(++this->version));
            break;
        default:
            this->fleet.store->fault = fakes::store_fault::none;
            break;
        }
    }

    void touch() { this->disturbed_at = now(); }

    void kill(std::size_t router)
    {
        this->fleet.routers[router].signal(SIGCONT);
        this->fleet.routers[router].signal(SIGKILL);
        this->touch();
    }

    /** A server drains, or is taken off the list; some of each service always stay. */
    void leave()
    {
        const std::string id = this->listed[this->draw(this->listed.size())];
        const std::string service = id.substr(0, id.find_first_of("0123456789"));
        const auto others = std::ranges::count_if(
            this->listed, [&](const std::string& each) { return each.starts_with(service); });
        if (others <= 2) return;
        if (this->draw(2) == 0) {
            this->fleet.set_server_state(id, "draining");
        } else {
            this->fleet.remove_server(id);
        }
        std::erase(this->listed, id);
        this->left_at[id] = now();
    }

    void step()
    {
        this->tend_routers();
        if (this->under_way.size() < callers_at_once) this->ask();
        event_base_loop(this->fleet.base.get(), EVLOOP_NONBLOCK);
        std::erase_if(this->under_way, [this](const asked& item) { return this->finish(item); });
    }

    /** Starts what has ended, and wakes what was paused for long enough. */
    void tend_routers()
    {
        for (std::size_t i = 0; i < router_count; ++i) {
            const auto wake = this->paused.find(i);
            if (wake != this->paused.end() && now() > wake->second) {
                this->fleet.routers[i].signal(SIGCONT);
                this->paused.erase(wake);
                this->touch();
            }
            if (!this->fleet.routers[i].ended()) continue;
            this->fleet.start(i);
            this->touch();
        }
    }

    void ask()
    {
        constexpr std::array targets{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"};
        asked item;
        item.id = "q" + std::to_string(this->requests++);
        item.target = targets[this->draw(targets.size())];
        item.router = this->draw(router_count);
        item.caller = this->fleet.connect(item.router);
        item.since = now();
        const std::string method = item.target == "/safe/x" ? "GET" : "POST";
        item.caller->send(request_text(method, item.target, item.id));
        this->under_way.push_back(std::move(item));
    }

    /** Whether the request is over; judges it then. */
    bool finish(const asked& item)
    {
        const std::string& got = item.caller->received;
        if (!item.caller->closed && !is_whole(got) && now() - item.since < request_at_most) {
            return false;
        }
        const std::size_t ran = this->runs[item.id];
        const int status = status_in(got);
        const bool repeatable = item.target == "/safe/x" || item.target == "/stream/x";
        const bool stream = item.target == "/stream/x" || item.target == "/once/x";
        const std::string name = item.target + " " + item.id;
        if (ran > (repeatable ? 2U : 1U)) this->report("ran too often: " + name);
        if (status == 503 && ran > 0) this->report("refused as not run, and ran: " + name);
        if (status == 200 && !stream && is_whole(got) && body_in(got) != "answer to " + item.id) {
            this->report("not its own answer: " + name);
        }
        if (status == 200 && stream) this->judge_stream(name, item.id, got);
        if (status == 200 && is_whole(got)) ++this->served;
        return true;
    }

    void judge_stream(const std::string& name, const std::string& id, const std::string& got)
    {
        std::string expected;
        for (unsigned event = 1; event <= 4; ++event)
            expected += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
        const std::string body = body_in(got);
        if (!expected.starts_with(body)) this->report("not its own events: " + name);
        if (is_whole(got) && body != expected) this->report("broken, and looks whole: " + name);
    }

    /** All faults end; every router must serve again soon, by the newest configuration. */
    void recover()
    {
        this->fleet.store->fault = fakes::store_fault::none;
        this->servers_fail_until = instant{};
        for (const auto& [router, until] : this->paused)
            this->fleet.routers[router].signal(SIGCONT);
        this->paused.clear();
        std::string config = example_config(++this->version);
        this->fleet.set_config(config.replace(config.find("\"k1\""), 4, "\"k2\""));
        const instant end = now() + recovered_within;
        for (std::size_t i = 0; i < router_count; ++i) {
            int status = 0;
            std::string text = request_text("GET", "/safe/x", "last" + std::to_string(i));
            text.replace(text.find(": k1"), 4, ": k2");
            while (status != 200 && now() < end) {
                this->tend_routers();
                status = status_in(this->fleet.ask(i, text));
            }
            if (status != 200) this->report("does not serve again: router " + std::to_string(i));
        }
    }

    std::uint64_t seed;
    duration span;
    std::mt19937_64 random;
    router_fleet fleet;
    std::uint64_t version = 0;
    std::size_t next_server = 0;
    std::size_t broken = 0;
    std::vector<std::string> listed;
    std::map<std::string, instant> left_at;
    std::map<std::string, std::size_t> runs;
    std::map<std::size_t, instant> paused;
    std::vector<asked> under_way;
    instant servers_fail_until{};
    instant disturbed_at{};
};

std::uint64_t option(int count, char** values, const std::string& name, std::uint64_t fallback)
{
    for (int i = 1; i + 1 < count; i += 2) {
        const std::string_view text = values[i + 1];
        if (name == values[i]) std::from_chars(text.data(), text.data() + text.size(), fallback);
    }
    return fallback;
}

} // namespace

int main(int count, char** values)
{
    std::signal(SIGPIPE, SIG_IGN);
    start_log(log_level::off, "soak");
    const std::uint64_t first = option(count, values, "--first", 1);
    const std::uint64_t seeds = option(count, values, "--seeds", 3);
    const auto span = seconds(option(count, values, "--seconds", 8));
    std::size_t broken = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        soak item(seed, span);
        const std::size_t found = item.run();
        broken += found;
        std::cout << "seed=" << seed << " requests=" << item.requests << " served=" << item.served
                  << " broken=" << found << std::endl;
    }
    std::cout << seeds << " seeds, " << broken << " broken promises\n";
    return broken == 0 ? 0 : 1;
}
