#include "account_table.h"

#include <algorithm>
#include <functional>
#include <unordered_set>

#include "errors.h"

namespace worksshift {

namespace {

std::uint64_t id_hash(const account_config& account)
{
    return account.id.hash();
}

std::uint64_t key_hash(const account_config& account)
{
    return hash_of(account.key_sha256);
}

bool holds(const account_bucket& bucket, const account_config* account)
{
    // std::less, unlike <, also orders pointers into different arrays.
    const std::less<const account_config*> before;
    const account_config* first = bucket.accounts.data();
    return !before(account, first) && before(account, first + bucket.accounts.size());
}

bool in_any(std::span<const account_table::bucket_ptr> buckets, const account_config* account)
{
    return std::ranges::any_of(buckets,
                               [&](const auto& bucket) { return holds(*bucket, account); });
}

/** The account that satisfies \p matches among those of the same hash; null if there is none. */
template <class Entries, class Fits>
const account_config* look_up(const Entries& index, std::uint64_t hash, Fits matches)
{
    const auto same =
        std::ranges::equal_range(index, hash, {}, [](const auto& item) { return item.hash; });
    const auto found =
        std::ranges::find_if(same, [&](const auto& item) { return matches(*item.account); });
    return found == same.end() ? nullptr : found->account;
}

/** Adds entries for the accounts of \p fresh to an index, and keeps it sorted by hash. */
template <class Entries, class Hash>
void merge(Entries& index, std::span<const account_table::bucket_ptr> fresh, Hash hash)
{
    const auto by_hash = [](const auto& one, const auto& other) { return one.hash < other.hash; };
    const auto old_size = static_cast<std::ptrdiff_t>(index.size());
    for (const auto& bucket : fresh) {
        for (const account_config& account : bucket->accounts)
            index.push_back({hash(account), &account});
    }
    std::sort(index.begin() + old_size, index.end(), by_hash);
    std::inplace_merge(index.begin(), index.begin() + old_size, index.end(), by_hash);
}

/** Throws if a name occurs twice. Equal names have equal hashes, so duplicates are in one run of
 * entries. */
template <class Entries, class Name>
void check_distinct(const Entries& index, Name name, const char* path)
{
    for (std::size_t i = 1; i < index.size(); ++i) {
        for (std::size_t j = i; j > 0 && index[j - 1].hash == index[i].hash; --j) {
            const std::string& other = name(*index[j - 1].account);
            if (other != name(*index[i].account)) continue;
            throw user_error("configuration", path,
                             std::string("configuration ") + path + ": names " + other + " twice");
        }
    }
}

} // namespace

const account_config* account_table::find(const client_account_id& id) const
{
    return look_up(this->by_id, id.hash(),
                   [&](const account_config& account) { return account.id == id; });
}

const account_config* account_table::find_key(std::string_view key_sha256) const
{
    return look_up(this->by_key, hash_of(key_sha256),
                   [&](const account_config& account) { return account.key_sha256 == key_sha256; });
}

void account_table::assign(std::vector<account_config> accounts)
{
    std::vector<account_bucket> spread(accounts.size() / accounts_per_bucket + 1);
    for (account_config& account : accounts) {
        spread[account.id.hash() % spread.size()].accounts.push_back(std::move(account));
    }
    std::vector<bucket_ptr> wanted;
    std::ranges::transform(spread, std::back_inserter(wanted), [](account_bucket& bucket) {
        return std::make_shared<const account_bucket>(std::move(bucket));
    });
    this->set_buckets(wanted);
}

void account_table::set_buckets(std::span<const bucket_ptr> wanted)
{
    const std::unordered_set<bucket_ptr> old_buckets(this->all.begin(), this->all.end());
    const std::unordered_set<bucket_ptr> new_buckets(wanted.begin(), wanted.end());
    std::vector<bucket_ptr> gone;
    std::vector<bucket_ptr> fresh;
    std::ranges::copy_if(this->all, std::back_inserter(gone),
                         [&](const bucket_ptr& bucket) { return !new_buckets.contains(bucket); });
    std::ranges::copy_if(wanted, std::back_inserter(fresh),
                         [&](const bucket_ptr& bucket) { return !old_buckets.contains(bucket); });
    this->remove_from_indices(gone);
    this->add_to_indices(fresh);
    this->all.assign(wanted.begin(), wanted.end());
}

void account_table::set(account_config account)
{
    const account_config* old = this->find(account.id);
    if (old == nullptr && this->size() >= 2 * accounts_per_bucket * this->all.size()) {
        std::vector<account_config> every{std::move(account)};
        for (const bucket_ptr& bucket : this->all)
            std::ranges::copy(bucket->accounts, std::back_inserter(every));
        this->assign(std::move(every));
        return;
    }
    const std::size_t index =
        old == nullptr ? account.id.hash() % this->all.size() : this->bucket_of(old);
    account_bucket changed{{}, this->all[index]->accounts};
    if (old == nullptr) {
        changed.accounts.push_back(std::move(account));
    } else {
        changed.accounts[static_cast<std::size_t>(old - this->all[index]->accounts.data())] =
            std::move(account);
    }
    this->replace(index, std::move(changed));
}

bool account_table::erase(const client_account_id& id)
{
    const account_config* old = this->find(id);
    if (old == nullptr) return false;
    const std::size_t index = this->bucket_of(old);
    account_bucket changed{{}, this->all[index]->accounts};
    changed.accounts.erase(changed.accounts.begin() + (old - this->all[index]->accounts.data()));
    this->replace(index, std::move(changed));
    return true;
}

std::size_t account_table::bucket_of(const account_config* account) const
{
    const auto found = std::ranges::find_if(
        this->all, [&](const bucket_ptr& bucket) { return holds(*bucket, account); });
    return static_cast<std::size_t>(found - this->all.begin());
}

void account_table::replace(std::size_t index, account_bucket changed)
{
    std::vector<bucket_ptr> wanted = this->all;
    wanted[index] = std::make_shared<const account_bucket>(std::move(changed));
    this->set_buckets(wanted);
}

void account_table::remove_from_indices(std::span<const bucket_ptr> gone)
{
    if (gone.empty()) return;
    if (gone.size() == this->all.size()) {
        this->by_id.clear();
        this->by_key.clear();
        this->accounts_with_reservation.clear();
        return;
    }
    const auto left_out = [&](const entry& item) { return in_any(gone, item.account); };
    std::erase_if(this->by_id, left_out);
    std::erase_if(this->by_key, left_out);
    std::erase_if(this->accounts_with_reservation,
                  [&](const account_config* account) { return in_any(gone, account); });
}

void account_table::add_to_indices(std::span<const bucket_ptr> fresh)
{
    if (fresh.empty()) return;
    merge(this->by_id, fresh, id_hash);
    merge(this->by_key, fresh, key_hash);
    for (const bucket_ptr& bucket : fresh) {
        for (const account_config& account : bucket->accounts) {
            if (account.reserved > 0) this->accounts_with_reservation.push_back(&account);
        }
    }
    check_distinct(
        this->by_id, [](const auto& account) -> const auto& { return account.id.text; },
        "accounts");
    check_distinct(
        this->by_key, [](const auto& account) -> const auto& { return account.key_sha256; },
        "accounts.key_sha256");
}

} // namespace worksshift
