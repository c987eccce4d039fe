#include "packed_text.h"

#include <cstdint>

#include <zlib.h>

#include "errors.h"

namespace worksshift {

namespace {

/** Of the length in front of the packed bytes, least byte first. */
constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_of_byte = 8;
constexpr std::size_t text_at_most = std::size_t{64} << 20U;

} // namespace

std::string pack(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string packed(length_bytes + size, '\0');
    for (std::size_t i = 0; i < length_bytes; ++i)
        packed[i] = static_cast<char>((text.size() >> (bits_of_byte * i)) & 0xffU);
    const int result =
        compress2(reinterpret_cast<Bytef*>(packed.data() + length_bytes), &size,
                  reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
    if (result != Z_OK) throw internal_error("pack", "", "zlib: " + std::to_string(result));
    packed.resize(length_bytes + size);
    return packed;
}

std::string unpack(std::string_view bytes, const std::string& peer)
{
    if (bytes.size() < length_bytes) throw peer_error("unpack", peer, "too short");
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
        length |= std::size_t{static_cast<std::uint8_t>(bytes[i])} << (bits_of_byte * i);
    if (length > text_at_most) throw peer_error("unpack", peer, "too long");
    bytes.remove_prefix(length_bytes);
    std::string text(length, '\0');
    uLongf size = length;
    const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                  reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (result != Z_OK || size != length) {
        throw peer_error("unpack", peer, "zlib: " + std::to_string(result));
    }
    return text;
}

} // namespace worksshift
