/** \file
 * Wire format of link frames (TCP) and gossip datagrams (UDP): cereal's portable binary archive,
 * limited in length and authenticated with HMAC-SHA256 under the fleet key.
 *
 * A link frame is `length (4 bytes, big endian) | tag (16) | body`. The tag covers the receiver's
 * nonce, the frame's sequence number on the connection and the body, so a frame that is
 * modified, replayed, dropped or moved to another connection is detected. A datagram is `tag (16) |
 * body`; replayed datagrams are harmless, because incarnations and revisions only increase and an
 * ack whose nonce is no longer pending is ignored.
 */
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "messages.h"

namespace worksshift {

constexpr std::size_t tag_size = 16;                           ///< bytes
constexpr std::size_t frame_header_size = 4 + tag_size;        ///< bytes
constexpr std::size_t max_frame_bytes = std::size_t{8} << 20U; ///< bytes, length and tag included
constexpr std::size_t max_datagram_bytes = 1400;               ///< bytes, tag included

using nonce = std::array<std::uint8_t, 16>;
using frame_tag = std::array<std::uint8_t, tag_size>;

/** A nonce from OpenSSL's random generator.
 * \throws internal_error when it fails. */
nonce make_nonce();

/** HMAC-SHA256 under one key, truncated to `tag_size` bytes. */
class authenticator {
public:
    explicit authenticator(std::string_view key);
    ~authenticator();
    authenticator(const authenticator&) = delete;
    authenticator& operator=(const authenticator&) = delete;
    authenticator(authenticator&&) = delete;
    authenticator& operator=(authenticator&&) = delete;

    frame_tag tag(std::span<const std::uint8_t> context, std::string_view body);
    bool check(const frame_tag& tag, std::span<const std::uint8_t> context, std::string_view body);

private:
    struct state;
    std::unique_ptr<state> inner;
};

/** Writes the frames of one direction of a link. */
class frame_writer {
public:
    explicit frame_writer(authenticator& auth) : auth(auth) {}
    /** Sets the peer's nonce. Call it after the first frame, the hello, which is written with an
     * empty nonce. */
    void set_nonce(const nonce& value) { this->peer_nonce = value; }
    std::string write(const link_message& message);

private:
    authenticator& auth;
    nonce peer_nonce{};
    std::uint64_t next_sequence = 0;
};

/** Reads the frames of one direction of a link. */
class frame_reader {
public:
    explicit frame_reader(authenticator& auth) : auth(auth) {}
    void set_nonce(const nonce& value) { this->own_nonce = value; }

    /** Length of the frame that starts with \p head, head included.
     * \throws peer_error when it exceeds `max_frame_bytes`. */
    static std::size_t frame_length(std::span<const std::uint8_t> head);
    /** Reads one complete frame.
     * \throws peer_error on a wrong tag or a malformed body. */
    link_message read(std::span<const std::uint8_t> frame);

private:
    authenticator& auth;
    nonce own_nonce{};
    std::uint64_t next_sequence = 0;
};

/** One datagram; std::nullopt if the message exceeds `max_datagram_bytes`. */
std::optional<std::string> write_datagram(authenticator& auth, const gossip_message& message);
/** \throws peer_error on a wrong tag or a malformed body. */
gossip_message read_datagram(authenticator& auth, std::span<const std::uint8_t> datagram);

} // namespace worksshift
