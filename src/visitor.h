/** \file
 * A visitor of a variant, made of one lambda for each alternative.
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
