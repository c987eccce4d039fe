/** \file
 * The home of a key: the one live VM that stores the state of the key, such as a bucket of claims
 * or a client account's token bucket. All VMs with the same membership view select the same home.
 */
#pragma once

#include "rendezvous.h"
#include "tables.h"

namespace worksshift {

/** The live VM that ranks first for the key by rendezvous hash; this VM if no live VM is known. */
inline vm_id home_of(const tables& t, std::uint64_t key)
{
    return t.homes.empty() ? t.self : t.homes[rendezvous_first(key, t.home_hashes)];
}

} // namespace worksshift
