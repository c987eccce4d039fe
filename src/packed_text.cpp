#include "packed_text.h"

#include <cstdint>

#include <zlib.h>

#include "errors.h"

namespace worksshift {

namespace {

/** Size of the header before the compressed bytes: the length of the text, little-endian. */
constexpr std::size_t length_header_bytes = 4;
constexpr unsigned bits_per_byte = 8;
constexpr std::size_t max_text_bytes = std::size_t{64} << 20U;

} // namespace

std::string pack(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string packed(length_header_bytes + size, '\0');
    for (std::size_t i = 0; i < length_header_bytes; ++i)
        packed[i] = static_cast<char>((text.size() >> (bits_per_byte * i)) & 0xffU);
    const int result =
        compress2(reinterpret_cast<Bytef*>(packed.data() + length_header_bytes), &size,
                  reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
    if (result != Z_OK) throw internal_error("pack", "", "zlib error " + std::to_string(result));
    packed.resize(length_header_bytes + size);
    return packed;
}

std::string unpack(std::string_view bytes, const std::string& peer)
{
    if (bytes.size() < length_header_bytes)
        throw peer_error("unpack", peer, "packed text is shorter than its length header");
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_header_bytes; ++i)
        length |= std::size_t{static_cast<std::uint8_t>(bytes[i])} << (bits_per_byte * i);
    if (length > max_text_bytes)
        throw peer_error("unpack", peer, "length of the unpacked text is over 64 MiB");
    bytes.remove_prefix(length_header_bytes);
    std::string text(length, '\0');
    uLongf size = length;
    const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                  reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (result != Z_OK || size != length) {
        throw peer_error("unpack", peer, "zlib error " + std::to_string(result));
    }
    return text;
}

} // namespace worksshift
