/** \file
 * Limits retries to a share of the requests, so that they do not overload a failing service.
 */
#pragma once

#include <algorithm>

namespace worksshift {

class retry_budget {
public:
    static constexpr double share = 0.1;              ///< retries earned per request
    static constexpr double max_saved_retries = 20.0; ///< maximum retries saved up

    void on_request() { this->balance = std::min(max_saved_retries, this->balance + share); }

    /** Takes one retry out of the budget. Returns false if there is none. */
    bool withdraw()
    {
        if (this->balance < 1) return false;
        this->balance -= 1;
        return true;
    }

private:
    double balance = max_saved_retries;
};

} // namespace worksshift
