#include "codec.h"

#include <algorithm>
#include <cstring>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include "errors.h"

namespace worksshift {

namespace {

constexpr std::size_t length_size = 4;
constexpr std::size_t sha256_size = 32;

/** The context of a link frame's tag: the receiver's nonce and the frame's sequence number. */
std::array<std::uint8_t, 24> frame_context(const nonce& receiver_nonce, std::uint64_t sequence)
{
    std::array<std::uint8_t, 24> context{};
    std::ranges::copy(receiver_nonce, context.begin());
    for (std::size_t i = 0; i < sizeof sequence; ++i) {
        context[receiver_nonce.size() + i] = static_cast<std::uint8_t>(sequence >> (8 * i));
    }
    return context;
}

constexpr std::array<std::uint8_t, 8> datagram_context{'g', 'o', 's', 's', 'i', 'p', '0', '1'};

/** A stream buffer that reads a view without copying it. */
class view_buffer : public std::streambuf {
public:
    explicit view_buffer(std::string_view text)
    {
        char* start = const_cast<char*>(text.data()); // std::streambuf takes no const buffer
        this->setg(start, start, start + text.size());
    }
};

template <class Message>
std::string encode(const Message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return std::move(stream).str();
}

template <class Message>
Message decode(std::string_view body, const char* step)
{
    try {
        view_buffer buffer(body);
        std::istream stream(&buffer);
        cereal::PortableBinaryInputArchive archive(stream);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception& fault) {
        throw peer_error(step, "", std::string("malformed message: ") + fault.what());
    }
}

std::string_view as_text(std::span<const std::uint8_t> bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

} // namespace

struct authenticator::state {
    EVP_MAC* mac = nullptr;
    EVP_MAC_CTX* context = nullptr;
};

authenticator::authenticator(std::string_view key) : inner(std::make_unique<state>())
{
    this->inner->mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    this->inner->context = EVP_MAC_CTX_new(this->inner->mac);
    std::string digest = "SHA256";
    const std::array parameters{OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0),
                                OSSL_PARAM_construct_end()};
    const int initialised =
        EVP_MAC_init(this->inner->context, reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), parameters.data());
    if (initialised != 1)
        throw internal_error("authenticate", "", "HMAC-SHA256 cannot be initialised");
}

authenticator::~authenticator()
{
    EVP_MAC_CTX_free(this->inner->context);
    EVP_MAC_free(this->inner->mac);
}

frame_tag authenticator::tag(std::span<const std::uint8_t> context, std::string_view body)
{
    std::array<std::uint8_t, sha256_size> digest_bytes{};
    std::size_t length = 0;
    EVP_MAC_CTX* mac = this->inner->context;
    const bool succeeded =
        EVP_MAC_init(mac, nullptr, 0, nullptr) == 1 &&
        EVP_MAC_update(mac, context.data(), context.size()) == 1 &&
        EVP_MAC_update(mac, reinterpret_cast<const unsigned char*>(body.data()), body.size()) ==
            1 &&
        EVP_MAC_final(mac, digest_bytes.data(), &length, digest_bytes.size()) == 1;
    if (!succeeded) throw internal_error("authenticate", "", "HMAC failed");
    frame_tag truncated{};
    std::ranges::copy_n(digest_bytes.begin(), tag_size, truncated.begin());
    return truncated;
}

bool authenticator::check(const frame_tag& tag, std::span<const std::uint8_t> context,
                          std::string_view body)
{
    const frame_tag expected = this->tag(context, body);
    return CRYPTO_memcmp(expected.data(), tag.data(), tag_size) == 0;
}

nonce make_nonce()
{
    nonce value{};
    if (RAND_bytes(value.data(), static_cast<int>(value.size())) != 1) {
        throw internal_error("authenticate", "", "the random generator failed");
    }
    return value;
}

std::string frame_writer::write(const link_message& message)
{
    const std::string body = encode(message);
    const std::size_t length = tag_size + body.size();
    if (length + length_size > max_frame_bytes) {
        throw internal_error("write frame", "", "frame exceeds the maximum length");
    }
    const frame_tag tag =
        this->auth.tag(frame_context(this->peer_nonce, this->next_sequence++), body);
    std::string frame;
    frame.reserve(length_size + length);
    for (std::size_t i = 0; i < length_size; ++i) {
        frame += static_cast<char>(length >> (8 * (length_size - 1 - i)));
    }
    frame.append(reinterpret_cast<const char*>(tag.data()), tag.size());
    frame += body;
    return frame;
}

std::size_t frame_reader::frame_length(std::span<const std::uint8_t> head)
{
    std::size_t length = 0;
    for (const std::uint8_t byte : head.first(length_size))
        length = length << 8U | byte;
    if (length < tag_size || length + length_size > max_frame_bytes) {
        throw peer_error("read frame", "",
                         "invalid frame length: " + std::to_string(length) + " bytes");
    }
    return length + length_size;
}

link_message frame_reader::read(std::span<const std::uint8_t> frame)
{
    frame_tag tag{};
    std::ranges::copy(frame.subspan(length_size, tag_size), tag.begin());
    const std::string_view body = as_text(frame.subspan(frame_header_size));
    if (!this->auth.check(tag, frame_context(this->own_nonce, this->next_sequence++), body)) {
        throw peer_error("read frame", "",
                         "authentication failed: wrong fleet key, or frame out of order");
    }
    return decode<link_message>(body, "read frame");
}

std::optional<std::string> write_datagram(authenticator& auth, const gossip_message& message)
{
    const std::string body = encode(message);
    if (body.size() + tag_size > max_datagram_bytes) return std::nullopt;
    const frame_tag tag = auth.tag(datagram_context, body);
    std::string datagram(reinterpret_cast<const char*>(tag.data()), tag.size());
    return datagram + body;
}

gossip_message read_datagram(authenticator& auth, std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < tag_size) throw peer_error("read datagram", "", "datagram too short");
    frame_tag tag{};
    std::ranges::copy(datagram.first(tag_size), tag.begin());
    const std::string_view body = as_text(datagram.subspan(tag_size));
    if (!auth.check(tag, datagram_context, body)) {
        throw peer_error("read datagram", "", "authentication failed: wrong fleet key");
    }
    return decode<gossip_message>(body, "read datagram");
}

} // namespace worksshift
