#include "support/router_fleet.h"

#include <algorithm>

namespace support {

using namespace worksshift;

namespace {

constexpr unsigned first_host = 20; ///< last byte of the first router's loopback address

} // namespace

router_fleet::router_fleet(std::size_t count)
    : base(make_event_base()), stores(count, link_address{"127.0.0.1", free_port()}),
      front_port(free_port()), ready_port(free_port()), peer_port(free_port()),
      relay_port(free_port()), metrics_port(free_port()), ticker(base.get(), [] {})
{
    this->store = std::make_unique<fakes::fake_store>(this->base.get(), this->stores.front());
    this->routers.resize(count);
    // Wakes the event loop, so that run_until checks its condition and timeout regularly.
    this->ticker.start_every(milliseconds(10));
}

std::string router_fleet::address_of(std::size_t router) const
{
    return "127.0.0." + std::to_string(first_host + router);
}

void router_fleet::start(std::size_t router)
{
    const std::string own = this->address_of(router);
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(this->routers.size(), 3); ++i)
        seeds += this->address_of(i) + ":1,";
    const auto at = [&own](std::uint16_t port) { return own + ":" + std::to_string(port); };
    this->routers[router] =
        child(WORKSSHIFT_BINARY_DIR "/worksshift-router",
              {"--vm=vm" + std::to_string(router), "--data-centre=dc",
               "--front=" + at(this->front_port), "--readiness=" + at(this->ready_port),
               "--peer-address=" + own, "--peer-port=" + std::to_string(this->peer_port),
               "--relay-port=" + std::to_string(this->relay_port),
               "--metrics-port=" + std::to_string(this->metrics_port),
               "--store=" + to_string(this->stores[router]), "--seeds=" + seeds,
               "--stop-grace-s=" + std::to_string(this->stop_grace_s)},
              "router-" + std::to_string(router));
}

void router_fleet::start_all()
{
    for (std::size_t i = 0; i < this->routers.size(); ++i)
        this->start(i);
}

std::string router_fleet::entry(const std::string& id, const std::string& state)
{
    const auto found = std::ranges::find(this->listings, id, &listing::id);
    return R"({"service":")" + found->service + R"(","address":")" + to_string(found->address) +
           R"(","zone":")" + found->data_centre + R"(","version":")" + found->version +
           R"(","slots":8,"coldRemainingMs":0,"sequence":1,"state":")" + state + R"("})";
}

scripted_server& router_fleet::add_server(const std::string& id, const std::string& service,
                                          scripted_server::script answer,
                                          const std::string& data_centre,
                                          const std::string& version)
{
    this->servers.push_back(std::make_unique<scripted_server>(this->base.get(), std::move(answer)));
    this->register_server(id, service, this->servers.back()->address(), data_centre, version);
    return *this->servers.back();
}

void router_fleet::register_server(const std::string& id, const std::string& service,
                                   const link_address& address, const std::string& data_centre,
                                   const std::string& version)
{
    this->listings.push_back({id, service, address, data_centre, version});
    this->store->put("servers", id, this->entry(id, "ready"));
}

link_address router_fleet::store_address(std::size_t router) const
{
    return this->stores[router];
}

void router_fleet::set_store_address(std::size_t router, const link_address& address)
{
    this->stores[router] = address;
}

void router_fleet::set_server_state(const std::string& id, const std::string& state)
{
    this->store->put("servers", id, this->entry(id, state));
}

std::unique_ptr<raw_caller> router_fleet::connect(std::size_t router, int receive_buffer)
{
    return std::make_unique<raw_caller>(
        this->base.get(), link_address{this->address_of(router), this->front_port}, receive_buffer);
}

link_address router_fleet::front(std::size_t router) const
{
    return {this->address_of(router), this->front_port};
}

link_address router_fleet::relay(std::size_t router) const
{
    return {this->address_of(router), this->relay_port};
}

link_address router_fleet::readiness(std::size_t router) const
{
    return {this->address_of(router), this->ready_port};
}

link_address router_fleet::peer(std::size_t router) const
{
    return {this->address_of(router), this->peer_port};
}

link_address router_fleet::metrics_address(std::size_t router) const
{
    return {this->address_of(router), this->metrics_port};
}

bool router_fleet::run_until(const std::function<bool()>& done, duration limit)
{
    const instant end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) return false;
        event_base_loop(this->base.get(), EVLOOP_ONCE);
    }
    return true;
}

std::string router_fleet::ask(std::size_t router, const std::string& text)
{
    const auto caller = this->connect(router);
    caller->send(text);
    this->run_until([&] { return caller->closed || is_complete_response(caller->received); },
                    seconds(5));
    return caller->received;
}

bool router_fleet::ready(std::size_t router)
{
    raw_caller caller(this->base.get(), {this->address_of(router), this->ready_port});
    caller.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    this->run_until([&] { return caller.closed || status_in(caller.received) > 0; }, seconds(1));
    return status_in(caller.received) == 200;
}

std::string router_fleet::metrics(std::size_t router, const std::string& path)
{
    raw_caller caller(this->base.get(), {this->address_of(router), this->metrics_port});
    caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    this->run_until([&] { return caller.closed; }, seconds(2));
    return caller.received;
}

bool router_fleet::wait_until_all_ready()
{
    const instant end = std::chrono::steady_clock::now() + seconds(10);
    for (std::size_t i = 0; i < this->routers.size(); ++i) {
        while (!this->ready(i)) {
            if (std::chrono::steady_clock::now() > end) return false;
        }
    }
    return true;
}

} // namespace support
