/** \file
 * Overload set of lambdas, used with std::visit: one lambda per alternative of a variant.
 */
#pragma once

namespace worksshift {

template <class... Branches>
struct visitor : Branches... {
    using Branches::operator()...;
};

template <class... Branches>
visitor(Branches...) -> visitor<Branches...>;

} // namespace worksshift
