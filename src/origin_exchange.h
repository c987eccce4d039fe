/** \file
 * Lets VMs find out which software version began a stream at another VM, also when that VM is gone.
 *
 * Before a stream's first event is passed on, its origin is sent to a few VMs, chosen by rendezvous
 * rank for the stream. A VM at which a caller takes up a stream that it does not know asks the
 * VMs that rank highest. Messages are datagrams that may be lost; a stream whose origin nobody
 * knows has to be refused.
 *
 * Reads no clock and opens no socket.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "stream_origins.h"

namespace worksshift {

/** Another VM that may be told or asked of origins. */
struct origin_vm {
    std::uint32_t address = 0; ///< IPv4, host order
    bool leaving = false;      ///< it will stop soon: it is asked, but not told
};

enum class origin_message_kind : std::uint8_t { record = 1, question = 2, answer = 3 };

/** One datagram. */
struct origin_message {
    origin_message_kind kind = origin_message_kind::record;
    stream_origin origin; ///< in an answer: `unknown` if the sender does not know it
};

std::string encode(const origin_message& message);
/** \throws peer_error if the bytes are not such a message. */
origin_message decode_origin_message(std::string_view bytes, const std::string& peer);

class origin_exchange {
public:
    /** VMs that are told of a stream. If half of the fleet ends at once, one in 32 streams that
     * began there is known to nobody. */
    static constexpr std::size_t told_vms = 5;
    /** VMs that are asked for a stream: more than are told, because VMs do not always know the same
     * others. */
    static constexpr std::size_t asked_vms = 8;
    /** A question is repeated after this time, and given up after the next: the caller can then
     * still come back within its latency objective. */
    static constexpr duration question_period = milliseconds(40);
    static constexpr duration question_timeout = milliseconds(200);
    /** Streams that may be asked for at the same time. */
    static constexpr std::size_t max_questions = 1024;

    /** Sends a datagram to another VM. */
    std::function<void(std::uint32_t to, const std::string& bytes)> send =
        [](std::uint32_t, const std::string&) {};
    /** The result of `ask`; std::nullopt: no VM that answered knows the stream. */
    std::function<void(stream_key, std::optional<software_version>)> on_result =
        [](stream_key, std::optional<software_version>) {};

    /** The other VMs that are alive. */
    void set_vms(std::vector<origin_vm> others) { this->vms = std::move(others); }
    /** Remembers the origin and tells other VMs. */
    void announce(const stream_origin& origin, instant now);
    [[nodiscard]] std::optional<software_version> find(stream_key stream) const
    {
        return this->known.find(stream);
    }
    /** Asks other VMs for the stream. `on_result` is called later, or at once if there is nobody to
     * ask. */
    void ask(stream_key stream, instant now);
    /** Handles a datagram of another VM. \throws peer_error */
    void receive(std::uint32_t from, std::string_view bytes, instant now);
    /** Repeats questions and gives up those without an answer. */
    void tick(instant now);
    [[nodiscard]] std::size_t streams() const { return this->known.size(); }
    [[nodiscard]] std::uint64_t bytes_sent() const { return this->sent_bytes; }

private:
    struct question {
        instant asked_at{};
        instant sent_at{};
        std::vector<std::uint32_t> waiting_for; ///< VMs that have not answered
    };

    [[nodiscard]] std::vector<std::uint32_t> highest_ranked(stream_key stream, std::size_t count,
                                                            bool with_leaving) const;
    void send_to(std::span<const std::uint32_t> to, const origin_message& message);
    void handle_answer(std::uint32_t from, const stream_origin& origin, instant now);
    void finish(stream_key stream, std::optional<software_version> version);

    std::vector<origin_vm> vms;
    stream_origins known;
    std::map<stream_key, question> questions;
    std::uint64_t sent_bytes = 0;
};

} // namespace worksshift
