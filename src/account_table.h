/** \file
 * The client accounts of a configuration, in immutable buckets that successive configurations
 * share.
 *
 * A fleet has tens of thousands of accounts and changes one at a time, and a VM forwards no tokens
 * while it applies a change. Therefore a bucket, which corresponds to one stored document, is
 * immutable: the next configuration shares all buckets except the changed one. The indices over all
 * accounts are flat sorted lists of a hash and a pointer; copying them and merging the entries of
 * one bucket takes a fraction of a millisecond at 36,000 accounts.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ids.h"

namespace worksshift {

/** Mean number of accounts in a bucket after `assign`; about 23 KB of document. */
constexpr std::size_t accounts_per_bucket = 128;

struct account_config {
    client_account_id id;
    std::string key_sha256;        ///< hex digest of its bearer key
    double weight = 1;             ///< share of a contended server relative to other accounts
    std::uint32_t reserved = 0;    ///< requests per server that run before those of other accounts
    std::uint32_t concurrency = 0; ///< requests in flight per entry VM; 0: no limit
    /** Tokens of cost that may start per minute, over the whole fleet; 0: no limit. */
    std::uint64_t tokens_per_minute = 0;

    bool operator==(const account_config&) const = default;
};

/** Accounts that are stored in one document. */
struct account_bucket {
    std::string shard; ///< the document's name; empty until it is written
    std::vector<account_config> accounts;
};

class account_table {
public:
    using bucket_ptr = std::shared_ptr<const account_bucket>;

    /** Null if there is no such account. */
    [[nodiscard]] const account_config* find(const client_account_id& id) const;
    [[nodiscard]] const account_config* find_key(std::string_view key_sha256) const;
    [[nodiscard]] std::size_t size() const { return this->by_id.size(); }
    [[nodiscard]] std::span<const bucket_ptr> buckets() const { return this->all_buckets; }
    /** Accounts with reserved capacity, of which there are few. */
    [[nodiscard]] std::span<const account_config* const> reserved() const
    {
        return this->accounts_with_reservation;
    }

    /** Replaces all accounts, spread evenly over buckets.
     * \throws user_error if an id or a key occurs twice; so do all functions below that add
     * accounts. */
    void assign(std::vector<account_config> accounts);
    /** Replaces the buckets. Those that the table already has are not indexed again. */
    void set_buckets(std::span<const bucket_ptr> replacement);
    /** Adds an account, or replaces the one of the same id. */
    void set(account_config account);
    /** Returns false if there is no such account. */
    bool erase(const client_account_id& id);

private:
    /** One account in an index. */
    struct entry {
        std::uint64_t hash = 0;
        const account_config* account = nullptr;
    };

    [[nodiscard]] std::size_t bucket_of(const account_config* account) const;
    void replace(std::size_t index, account_bucket changed);
    void remove_from_indices(std::span<const bucket_ptr> removed);
    void add_to_indices(std::span<const bucket_ptr> added);

    std::vector<bucket_ptr> all_buckets;
    std::vector<entry> by_id;  ///< sorted by hash
    std::vector<entry> by_key; ///< sorted by hash
    std::vector<const account_config*> accounts_with_reservation;
};

} // namespace worksshift
