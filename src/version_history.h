/** \file
 * Since when the servers of a service have had one version of the software, as far as this VM
 * knows.
 *
 * A VM that has just started knows nothing of the versions that served before, and neither does one
 * that saw the last server of a version leave. Both must not take the version that they see now for
 * the one that began a stream earlier.
 *
 * Reads no clock.
 */
#pragma once

#include <optional>

#include "software_version.h"

namespace worksshift {

class version_history {
public:
    /** A server of the service has the version. \p known_since: for the first one, since when no
     * server can have had another version; \p now if that is not known. */
    void observe(software_version version, instant known_since, instant now)
    {
        if (this->latest && version == *this->latest) return;
        this->changed = this->latest.has_value();
        this->since = this->latest ? now : known_since;
        this->latest = version;
    }

    /** Whether servers are known to have had different versions since \p earliest. */
    [[nodiscard]] bool changed_since(instant earliest) const
    {
        return this->changed && this->since >= earliest;
    }

    /** The version, if no server is known to have had another one since \p earliest, and nothing
     * earlier is unknown; std::nullopt otherwise. */
    [[nodiscard]] std::optional<software_version> only_since(instant earliest) const
    {
        return this->since <= earliest ? this->latest : std::nullopt;
    }

private:
    std::optional<software_version> latest;
    instant since{};      ///< `latest` has been the only version
    bool changed = false; ///< at `since`, from another version
};

} // namespace worksshift
