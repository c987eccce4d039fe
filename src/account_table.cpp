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

bool contains(const account_bucket& bucket, const account_config* account)
{
    // std::less, unlike <, also orders pointers into different arrays.
    const std::less<const account_config*> before;
    const account_config* first = bucket.accounts.data();
    return !before(account, first) && before(account, first + bucket.accounts.size());
}

bool in_any(std::span<const account_table::bucket_ptr> buckets, const account_config* account)
{
    return std::ranges::any_of(buckets,
                               [&](const auto& bucket) { return contains(*bucket, account); });
}

/** The account that satisfies \p matches among those of the same hash; null if there is none. */
template <class Entries, class Predicate>
const account_config* look_up(const Entries& index, std::uint64_t hash, Predicate matches)
{
    const auto same_hash =
        std::ranges::equal_range(index, hash, {}, [](const auto& indexed) { return indexed.hash; });
    const auto found = std::ranges::find_if(
        same_hash, [&](const auto& indexed) { return matches(*indexed.account); });
    return found == same_hash.end() ? nullptr : found->account;
}

/** Adds entries for the accounts of \p added to an index, and keeps it sorted by hash. */
template <class Entries, class Hash>
void merge(Entries& index, std::span<const account_table::bucket_ptr> added, Hash hash)
{
    const auto by_hash = [](const auto& one, const auto& other) { return one.hash < other.hash; };
    const auto old_size = static_cast<std::ptrdiff_t>(index.size());
    for (const auto& bucket : added) {
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
    std::vector<account_bucket> distributed(accounts.size() / accounts_per_bucket + 1);
    for (account_config& account : accounts) {
        distributed[account.id.hash() % distributed.size()].accounts.push_back(std::move(account));
    }
    std::vector<bucket_ptr> new_buckets;
    std::ranges::transform(distributed, std::back_inserter(new_buckets),
                           [](account_bucket& bucket) {
                               return std::make_shared<const account_bucket>(std::move(bucket));
                           });
    this->set_buckets(new_buckets);
}

void account_table::set_buckets(std::span<const bucket_ptr> replacement)
{
    const std::unordered_set<bucket_ptr> old_buckets(this->all_buckets.begin(),
                                                     this->all_buckets.end());
    const std::unordered_set<bucket_ptr> new_buckets(replacement.begin(), replacement.end());
    std::vector<bucket_ptr> removed;
    std::vector<bucket_ptr> added;
    std::ranges::copy_if(this->all_buckets, std::back_inserter(removed),
                         [&](const bucket_ptr& bucket) { return !new_buckets.contains(bucket); });
    std::ranges::copy_if(replacement, std::back_inserter(added),
                         [&](const bucket_ptr& bucket) { return !old_buckets.contains(bucket); });
    this->remove_from_indices(removed);
    this->add_to_indices(added);
    this->all_buckets.assign(replacement.begin(), replacement.end());
}

void account_table::set(account_config account)
{
    const account_config* old = this->find(account.id);
    if (old == nullptr && this->size() >= 2 * accounts_per_bucket * this->all_buckets.size()) {
        std::vector<account_config> all_accounts{std::move(account)};
        for (const bucket_ptr& bucket : this->all_buckets)
            std::ranges::copy(bucket->accounts, std::back_inserter(all_accounts));
        this->assign(std::move(all_accounts));
        return;
    }
    const std::size_t index =
        old == nullptr ? account.id.hash() % this->all_buckets.size() : this->bucket_of(old);
    account_bucket changed{{}, this->all_buckets[index]->accounts};
    if (old == nullptr) {
        changed.accounts.push_back(std::move(account));
    } else {
        changed
            .accounts[static_cast<std::size_t>(old - this->all_buckets[index]->accounts.data())] =
            std::move(account);
    }
    this->replace(index, std::move(changed));
}

bool account_table::erase(const client_account_id& id)
{
    const account_config* old = this->find(id);
    if (old == nullptr) return false;
    const std::size_t index = this->bucket_of(old);
    account_bucket changed{{}, this->all_buckets[index]->accounts};
    changed.accounts.erase(changed.accounts.begin() +
                           (old - this->all_buckets[index]->accounts.data()));
    this->replace(index, std::move(changed));
    return true;
}

std::size_t account_table::bucket_of(const account_config* account) const
{
    const auto found = std::ranges::find_if(
        this->all_buckets, [&](const bucket_ptr& bucket) { return contains(*bucket, account); });
    return static_cast<std::size_t>(found - this->all_buckets.begin());
}

void account_table::replace(std::size_t index, account_bucket changed)
{
    std::vector<bucket_ptr> new_buckets = this->all_buckets;
    new_buckets[index] = std::make_shared<const account_bucket>(std::move(changed));
    this->set_buckets(new_buckets);
}

void account_table::remove_from_indices(std::span<const bucket_ptr> removed)
{
    if (removed.empty()) return;
    if (removed.size() == this->all_buckets.size()) {
        this->by_id.clear();
        this->by_key.clear();
        this->accounts_with_reservation.clear();
        return;
    }
    const auto is_removed = [&](const entry& indexed) { return in_any(removed, indexed.account); };
    std::erase_if(this->by_id, is_removed);
    std::erase_if(this->by_key, is_removed);
    std::erase_if(this->accounts_with_reservation,
                  [&](const account_config* account) { return in_any(removed, account); });
}

void account_table::add_to_indices(std::span<const bucket_ptr> added)
{
    if (added.empty()) return;
    merge(this->by_id, added, id_hash);
    merge(this->by_key, added, key_hash);
    for (const bucket_ptr& bucket : added) {
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
