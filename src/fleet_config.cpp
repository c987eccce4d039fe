#include "fleet_config.h"

#include <algorithm>

namespace worksshift {

const service_config* fleet_config::find_service(const service_id& id) const
{
    const auto found = std::ranges::find(this->services, id, &service_config::id);
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace worksshift
