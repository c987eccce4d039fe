/** \file
 * Clients that reuse their kept channels for one stream after the other, while their machine gets
 * SIGTERM. The first stream begins before SIGTERM and ends within the grace time. The second one is
 * sent at once on the same channel, of which no answer said that it closes.
 */
#include "stand_ins.h"

using namespace review;

namespace {

constexpr int events = 42;           ///< of a file review
constexpr long gap = 100;            ///< between events, in ms; pauses up to 300 ms are on time
constexpr int deadline = 10000;      ///< time limit of a file review, in ms
constexpr long settled = 4000;       ///< before the first request, in ms; stabilityWindowMs is 3000
constexpr long excused_until = 3000; ///< requests sent this long after SIGTERM may be cut, in ms

constexpr int channels = 6;
constexpr long stagger = 11; ///< between the first requests of two channels, in ms

/** A stream as a model server sends it. Returns whether all of it was sent. */
bool send_stream(int fd, const message& request)
{
    if (!send_all(fd, response_head(request, 200,
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n")))
        return false;
    for (int i = 1; i <= events; ++i) {
        pause_ms(gap);
        const std::string event =
            "id: " + std::to_string(i) + "\ndata: " + request.header("x-request-id") + "\n\n";
        if (!send_all(fd, chunk_of(event))) return false;
    }
    return send_all(fd, chunk_of({}));
}

} // namespace

int main(int, char** arguments)
{
    record_file& record = *new record_file(arguments[1]);
    deployment& fleet = *new deployment(2);
    std::mutex guard;
    std::set<std::string> runs;
    const auto was_run = [&](const std::string& id) {
        const std::lock_guard lock(guard);
        return runs.contains(id);
    };
    const server& engine =
        *new server("i-engine-1", "127.0.4.1", [&](int fd, const message& request) {
            const std::string id = request.header("x-request-id");
            record.line("server runs " + id);
            {
                const std::lock_guard lock(guard);
                runs.insert(id);
            }
            const bool done = send_stream(fd, request);
            record.line("server " + std::string(done ? "sent all of " : "was cut off at ") + id);
            return done;
        });
    fleet.platform->put("config", "main",
                        config(1, route("review", "stream", "assist-llm", deadline, 600)));
    fleet.platform->put("servers", engine.id, engine.entry("assist-llm", "ready"));
    fleet.start_all();
    if (!fleet.wait_until_ready()) fleet.finish(could_not_run);
    pause_ms(settled);

    std::atomic<long> stopped_at = 0;
    std::atomic<std::size_t> lost = 0;
    std::atomic<bool> could_run = true;
    /** Two streams, one after the other, on one channel. */
    const auto use_channel = [&](const std::string& name) {
        const int fd = connect_to(fleet.ips[0], fleet.front_port);
        reader from(fd);
        const auto ask = [&](const std::string& id, message& answer) {
            send_all(fd, request_text("POST", "/review/1", id, deadline, "x"));
            record.line("client sent " + id);
            const bool read = from.read(answer, steady::now() + ms(deadline), true);
            record.line(
                "client got " + id + ": status " + std::to_string(answer.status()) + ", " +
                std::to_string(answer.body.size()) + " bytes, " +
                (answer.complete ? "complete" : "not complete, channel " + from.how_ended()) +
                ", Connection: " + answer.header("connection"));
            return read;
        };
        message first;
        if (fd < 0 || !ask(name + "-first", first) || !first.complete) {
            could_run = false;
            return;
        }
        if (lower(first.header("connection")) == "close") return; // announced: nothing more is sent
        const long sent_at = elapsed_ms();
        if (sent_at - stopped_at <= excused_until) could_run = false;
        message second;
        const bool answered = ask(name + "-second", second);
        // A channel that is closed with the request unread is no fault.
        if ((answered && second.complete) || !was_run(name + "-second")) return;
        ++lost;
        record.line("LOST: " + name + "-second was sent " + std::to_string(sent_at - stopped_at) +
                    " ms after SIGTERM, passed on to a server, and cut " +
                    std::to_string(elapsed_ms() - sent_at) + " ms later");
    };
    std::vector<std::thread> clients;
    for (int i = 0; i < channels; ++i) {
        clients.emplace_back(use_channel, "c" + std::to_string(i));
        pause_ms(stagger);
    }
    pause_ms(200);
    stopped_at = elapsed_ms();
    if (with_trouble()) {
        fleet.signal(0, SIGTERM);
        record.line("SIGTERM to machine 0");
    }
    for (std::thread& client : clients)
        client.join();
    if (!could_run) fleet.finish(could_not_run);
    record.line(std::to_string(lost) + " requests were lost");
    fleet.finish(lost > 0 ? broken : held);
}
