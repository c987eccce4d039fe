/** \file
 * Error types: a user error is invalid input (a setting, a document, a request), a peer error is a
 * failure of another process, and an internal error is a defect of this program. Each carries the
 * step and the peer at which it occurred.
 */
#pragma once

#include <stdexcept>
#include <string>

namespace worksshift {

/** Base of all errors thrown by the library. */
class error : public std::runtime_error {
public:
    error(std::string step, std::string peer, const std::string& what)
        : std::runtime_error(what), step(std::move(step)), peer(std::move(peer))
    {
    }

    std::string step;
    std::string peer;
};

/** Invalid input, which whoever provided it can correct. */
class user_error : public error {
    using error::error;
};

/** Another process violated the protocol, refused, or became unreachable. */
class peer_error : public error {
    using error::error;
};

/** A broken invariant of this program. */
class internal_error : public error {
    using error::error;
};

} // namespace worksshift
