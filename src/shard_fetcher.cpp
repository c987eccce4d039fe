#include "shard_fetcher.h"

#include <algorithm>

namespace worksshift {

namespace {

constexpr std::size_t max_concurrent_reads = 8;

} // namespace

std::string shard_object(const std::string& name)
{
    return "config/" + name;
}

struct shard_fetcher::pending_fetch {
    std::string manifest;
    std::vector<std::string> missing; ///< shards of the manifest that this VM does not hold
    std::vector<std::string> unread;  ///< those of them whose read has not been started
    std::size_t reads_in_flight = 0;
    bool failed = false;
    handler done;
};

void shard_fetcher::fetch(const std::string& manifest_text, const parsed_manifest& manifest,
                          handler done)
{
    auto pending = std::make_shared<pending_fetch>();
    pending->manifest = manifest_text;
    pending->done = std::move(done);
    std::ranges::copy_if(
        manifest.shards, std::back_inserter(pending->missing),
        [this](const std::string& name) { return !this->local.documents.shards.contains(name); });
    std::ranges::copy_if(pending->missing, std::back_inserter(pending->unread),
                         [this](const std::string& name) { return !this->fetched.contains(name); });
    for (std::size_t i = 0; i < max_concurrent_reads; ++i)
        this->start_next(pending);
    if (pending->reads_in_flight == 0 && pending->unread.empty()) this->finish(pending);
}

void shard_fetcher::start_next(const std::shared_ptr<pending_fetch>& pending)
{
    if (pending->unread.empty() || pending->failed) return;
    const std::string name = pending->unread.back();
    pending->unread.pop_back();
    ++pending->reads_in_flight;
    this->platform.run_when_budget_allows({0, shard_object(name), false, 0, {}},
                                          [this, pending, name](const object_result& result) {
                                              this->handle_shard(pending, name, result);
                                          });
}

void shard_fetcher::handle_shard(const std::shared_ptr<pending_fetch>& pending,
                                 const std::string& name, const object_result& result)
{
    --pending->reads_in_flight;
    if (result.status == object_status::ok && shard_name(result.value) == name) {
        this->fetched[name] = result.value;
    } else {
        pending->failed = true;
    }
    this->start_next(pending);
    if (pending->reads_in_flight == 0) this->finish(pending);
}

void shard_fetcher::finish(const std::shared_ptr<pending_fetch>& pending)
{
    if (!pending->done) return;
    const handler done = std::exchange(pending->done, nullptr);
    if (pending->failed) {
        done(std::nullopt);
        return;
    }
    config_documents documents{pending->manifest, {}};
    for (const std::string& name : pending->missing) {
        const auto found = this->fetched.find(name);
        if (found != this->fetched.end()) documents.shards.insert(*found);
    }
    this->fetched.clear();
    done(std::move(documents));
}

} // namespace worksshift
