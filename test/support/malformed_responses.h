/** \file
 * Malformed HTTP responses, each with the connection closed after it, for tests of every reader of
 * responses.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace support {

/** A response that no reader may take for an answer. */
struct malformed_response {
    std::string name;
    std::string status_line;
    std::string headers; ///< after those that the server always sends, each with its line end
    std::string body;

    /** \p server_headers: what the server always sends, each header with its line end. */
    [[nodiscard]] std::string bytes(std::string_view server_headers) const
    {
        return this->status_line + "\r\n" + std::string(server_headers) + this->headers + "\r\n" +
               this->body;
    }
};

/** Status lines that are not `HTTP/1.x NNN REASON` with a status from 200 to 599. */
inline std::vector<malformed_response> malformed_status_lines()
{
    std::vector<malformed_response> all;
    for (const char* line : {"HTTP/1.1 000 X",
                             "HTTP/1.1 001 X",
                             "HTTP/1.1 010 X",
                             "HTTP/1.1 099 X",
                             "HTTP/1.1 20 X",
                             "HTTP/1.1 0 X",
                             "HTTP/1.1 2x0 X",
                             "HTTP/1.1 -5 X",
                             "HTTP/1.1 +200 X",
                             "HTTP/1.1 0200 X",
                             "HTTP/1.1 600 X",
                             "HTTP/1.1 999 X",
                             "HTTP/1.1 2000 X",
                             "HTTP/1.1 65736 X",
                             "HTTP/1.1  200 X",
                             "HTTP/1.1 101 X",
                             "HTTP/1.1",
                             "HTTP/1.1 ",
                             "HTTP/0.0 200 X",
                             "HTTP/0.9 200 X",
                             "HTTP/2.0 200 X",
                             "HTTP/9.9 200 X",
                             "HTTP/1.10 200 X",
                             "HTTP/1 200 X",
                             "HTTPS/1.1 200 X",
                             "ICY 200 OK",
                             "HTTP/1.1 200 a\x01z",
                             "HTTP/1.1 200 OHTTP/1.1 500 X",
                             "HTTP/1.1 200 HTTP/1.0 404"}) {
        all.push_back({line, line, "Content-Length: 5\r\n", "whole"});
    }
    return all;
}

/** Lines of a head that are not a header, in part placed after a header that they would change. */
inline std::vector<malformed_response> malformed_header_lines()
{
    using std::string_literals::operator""s;
    std::vector<malformed_response> all;
    for (const std::string& line :
         {"X Y: 1"s, "X\tY: 1"s, "X\x01Y: 1"s, "X\0Y: 1"s, "X\x7fY: 1"s, "X/Y: 1"s, "X\"Y: 1"s,
          "X : 1"s, ": 1"s, "no colon"s, " X: 1"s, "\tX: 1"s, " continued"s, "X-A: a\x01z"s,
          "X-A: a\0z"s, "X-A: a\x7fz"s, "X-A: a\rz"s, "X-A: aHTTP/1.1 500 X"s,
          "X-A: HTTP/1.0 404"s}) {
        all.push_back({line, "HTTP/1.1 200 OK", line + "\r\nContent-Length: 5\r\n", "whole"});
    }
    return all;
}

/** Headers and bodies that do not state, or contradict, where the response ends. */
inline std::vector<malformed_response> malformed_framing()
{
    std::vector<malformed_response> all;
    for (const char* lines :
         {"Content-Length: 3\r\nContent-Length: 5\r\n", "Content-Length: 3, 5\r\n",
          "Content-Length: +5\r\n", "Content-Length: -5\r\n", "Content-Length: 5 5\r\n",
          "Content-Length: \r\n", "Content-Length: 0x5\r\n",
          "Content-Length: 18446744073709551621\r\n", "Content-Length : 5\r\n",
          "Content-Length: 9\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: \r\n",
          "Transfer-Encoding: unknown\r\n"}) {
        all.push_back({lines, "HTTP/1.1 200 OK", lines, "whole"});
    }
    constexpr const char* chunks = "5\r\nwhole\r\n0\r\n\r\n";
    for (const char* lines :
         {"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding : chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"}) {
        all.push_back({lines, "HTTP/1.1 200 OK", lines, chunks});
    }
    for (const char* prefix : {" ", "\t", "\x01", "X ", "X\x01", "X-A: a\r\n "}) {
        const std::string length = std::string(prefix) + "Content-Length: 3\r\n";
        all.push_back({length, "HTTP/1.1 200 OK", length, "whole"});
        const std::string sized = length + "Content-Length: 5\r\n";
        all.push_back({sized, "HTTP/1.1 200 OK", sized, "whole"});
        const std::string coding = std::string(prefix) + "Transfer-Encoding: chunked\r\n";
        all.push_back({coding, "HTTP/1.1 200 OK", coding, chunks});
        const std::string coded = coding + "Transfer-Encoding: chunked\r\n";
        all.push_back({coded, "HTTP/1.1 200 OK", coded, chunks});
    }
    for (const char* name : {"Content-Length\t: 5\r\n", "Content-Length\x01: 5\r\n",
                             "Content Length: 5\r\n", "Content\x01-Length: 5\r\n"})
        all.push_back({name, "HTTP/1.1 200 OK", name, "whole"});
    for (const char* name :
         {"Transfer-Encoding\t: chunked\r\n", "Transfer-Encoding\x01: chunked\r\n",
          "Transfer Encoding: chunked\r\n"})
        all.push_back({name, "HTTP/1.1 200 OK", name, chunks});
    for (const char* body :
         {"x\r\nwhole\r\n0\r\n\r\n", "5\r\nwholeXY0\r\n\r\n", "5\r\nwhole0\r\n\r\n",
          "+5\r\nwhole\r\n0\r\n\r\n", "0x5\r\nwhole\r\n0\r\n\r\n", "-5\r\nwhole\r\n0\r\n\r\n",
          "5\r\nwho", "5\r\nwhole\r\n", "5\r\nwhole\r\n0\r\n",
          "ffffffffffffffff1\r\nwhole\r\n0\r\n\r\n"}) {
        all.push_back({std::string("chunks ") + body, "HTTP/1.1 200 OK",
                       "Transfer-Encoding: chunked\r\n", body});
    }
    all.push_back(
        {"chunks in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunks});
    return all;
}

/** All of the above. */
inline std::vector<malformed_response> malformed_responses()
{
    std::vector<malformed_response> all = malformed_status_lines();
    for (const auto& part : {malformed_header_lines(), malformed_framing()})
        all.insert(all.end(), part.begin(), part.end());
    return all;
}

} // namespace support
