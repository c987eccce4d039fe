/** \file
 * The part of `caller_connections` that limits response data which clients have not read: it counts
 * the data, pauses and resumes responses, and closes the connections of clients that do not read
 * (`output_limits.h`).
 */
#include <algorithm>

#include <sys/socket.h>

#include "caller_connection_state.h"
#include "log.h"

namespace worksshift {

namespace {

/** A pause of this length is logged. */
constexpr duration long_pause = seconds(1);

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

/** Updates the counts of buffered bytes. */
void caller_connections::change_output(connection_state& connection, std::size_t buffered,
                                       std::size_t held_back)
{
    client_output& output = connection.output;
    const std::size_t before = output.buffered + output.held_back;
    const std::size_t after = buffered + held_back;
    output.buffered = buffered;
    output.held_back = held_back;
    this->output.bytes += after - before;
    this->output_charge.set(memory_per_output_byte * this->output.bytes);
    if (before == 0 && after > 0) ++this->output.clients;
    if (before > 0 && after == 0) --this->output.clients;
}

/** Called after a change of a client's output buffer. */
void caller_connections::track_output(connection_state& connection, const evbuffer_cb_info& change)
{
    if (connection.current_stage == connection_state::stage::closed) return;
    const bool was_empty = connection.output.buffered == 0;
    this->change_output(connection, change.orig_size + change.n_added - change.n_deleted,
                        connection.output.held_back);
    connection.has_read = connection.has_read || was_empty || change.n_deleted > 0;
}

void caller_connections::set_held_back(std::uint64_t request, std::size_t bytes)
{
    connection_state* connection = this->find(request);
    if (connection == nullptr) return;
    this->change_output(*connection, connection->output.buffered, bytes);
    this->enforce_total(now());
}

void caller_connections::set_paused(connection_state& connection, bool paused_now, instant time)
{
    if (connection.output.paused == paused_now) return;
    connection.output.paused = paused_now;
    connection.output.paused_since = time;
    this->paused += paused_now ? 1 : -1;
    // While the response is paused, the write callback is called at each step below half of the
    // bound, otherwise when the buffer is empty.
    const std::size_t low = paused_now ? this->output_rules.client_bound(this->output) / 2 : 0;
    bufferevent_setwatermark(connection.socket.get(), EV_WRITE, low, 0);
}

/** Pauses or resumes a response, or closes a connection whose client does not read. */
void caller_connections::check_output(connection_state& connection, instant time)
{
    const bool responding = connection.current_stage == connection_state::stage::responding;
    if (!responding) return;
    switch (this->output_rules.decide(connection.output, this->output, time)) {
    case output_action::none:
        return;
    case output_action::pause:
        this->set_paused(connection, true, time);
        this->on_output_full.emit(connection.request);
        return;
    case output_action::resume:
        this->set_paused(connection, false, time);
        this->on_output_drained.emit(connection.request);
        return;
    case output_action::close:
        this->close_slow_client(connection, slow_client_reason::unread, time);
        return;
    }
}

/** Closes the connection so that the client can tell that the response is incomplete. */
void caller_connections::close_slow_client(connection_state& connection, slow_client_reason reason,
                                           instant time)
{
    ++this->slow_closed[static_cast<std::size_t>(reason)];
    // By a reset, since the system would keep the bytes that it has buffered until they time out.
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(connection.socket.get()), SOL_SOCKET, SO_LINGER, &at_once,
               sizeof at_once);
    if (this->in_progress.contains(connection.request)) {
        const client_output state = connection.output;
        this->on_slow_client.emit(connection.request, state, reason);
    } else {
        log_event(log_level::info, "slow_client_closed",
                  {{"request", ""},
                   {"reason", name_of(reason)},
                   {"complete", 1},
                   {"buffered", connection.output.buffered},
                   {"total", this->output.bytes},
                   {"unread_ms", (time - connection.output.read_at) / milliseconds(1)}});
    }
    this->drop(connection);
}

void caller_connections::check_slow_clients(instant time)
{
    if (this->output.clients == 0) return;
    for (const auto& [id, connection] : this->connections) {
        if (std::exchange(connection->has_read, false)) connection->output.read_at = time;
        if (connection->output.buffered == 0) continue;
        const bool paused_long =
            connection->output.paused && time - connection->output.paused_since >= long_pause;
        if (paused_long && !std::exchange(connection->long_pause_logged, true))
            this->on_long_pause.emit(connection->request, connection->output);
        this->check_output(*connection, time);
    }
}

/** Connections with bytes that their clients have not accepted; notes first when these last read.
 */
std::vector<caller_connections::connection_state*>
caller_connections::unread_connections(instant time)
{
    std::vector<connection_state*> unread;
    for (const auto& [id, connection] : this->connections) {
        if (std::exchange(connection->has_read, false)) connection->output.read_at = time;
        if (connection->output.buffered > 0) unread.push_back(connection.get());
    }
    return unread;
}

/** Closes connections while the total bound is exceeded. Called as data is added, since many
 * responses may begin between two sweeps. */
void caller_connections::enforce_total(instant time)
{
    if (!this->output_rules.exceeded(this->output)) return;
    const std::vector<connection_state*> unread = this->unread_connections(time);
    std::vector<client_output> states;
    std::ranges::transform(unread, std::back_inserter(states), &connection_state::output);
    for (const std::size_t index : this->output_rules.choose_to_close(states, this->output))
        this->close_slow_client(*unread[index], slow_client_reason::memory, time);
}

/** Closes connections whose clients have not read their responses for a while, so that \p needed
 * bytes become free. \p asking: the connection that needs them. */
void caller_connections::close_unread(std::size_t needed, const connection_state* asking,
                                      instant time)
{
    std::vector<connection_state*> unread = this->unread_connections(time);
    std::erase(unread, asking);
    std::vector<memory_holder> holders;
    std::ranges::transform(
        unread, std::back_inserter(holders), [](const connection_state* connection) {
            const std::size_t request = connection->request == 0 ? 0 : request_bytes;
            return memory_holder{request + memory_per_output_byte * connection->output.buffered,
                                 connection->output.read_at};
        });
    constexpr bool only_stalled = true;
    for (const std::size_t index :
         memory_account::choose_to_refuse(holders, needed, only_stalled, time))
        this->close_slow_client(*unread[index], slow_client_reason::memory, time);
}

} // namespace worksshift
