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

struct shard_fetcher::job {
    std::string manifest;
    std::vector<std::string> wanted; ///< shards of the manifest that this VM does not hold
    std::vector<std::string> unread; ///< those of them whose read has not been started
    std::size_t reads_in_flight = 0;
    bool failed = false;
    handler done;
};

void shard_fetcher::fetch(const std::string& manifest, const parsed_manifest& head, handler done)
{
    auto item = std::make_shared<job>();
    item->manifest = manifest;
    item->done = std::move(done);
    std::ranges::copy_if(
        head.shards, std::back_inserter(item->wanted),
        [this](const std::string& name) { return !this->held.documents.shards.contains(name); });
    std::ranges::copy_if(item->wanted, std::back_inserter(item->unread),
                         [this](const std::string& name) { return !this->fetched.contains(name); });
    for (std::size_t i = 0; i < max_concurrent_reads; ++i)
        this->start_next(item);
    if (item->reads_in_flight == 0 && item->unread.empty()) this->finish(item);
}

void shard_fetcher::start_next(const std::shared_ptr<job>& item)
{
    if (item->unread.empty() || item->failed) return;
    const std::string name = item->unread.back();
    item->unread.pop_back();
    ++item->reads_in_flight;
    this->platform.run_when_budget_allows({0, shard_object(name), false, 0, {}},
                                          [this, item, name](const object_result& result) {
                                              this->handle_shard(item, name, result);
                                          });
}

void shard_fetcher::handle_shard(const std::shared_ptr<job>& item, const std::string& name,
                                 const object_result& result)
{
    --item->reads_in_flight;
    if (result.status == object_status::ok && shard_name(result.value) == name) {
        this->fetched[name] = result.value;
    } else {
        item->failed = true;
    }
    this->start_next(item);
    if (item->reads_in_flight == 0) this->finish(item);
}

void shard_fetcher::finish(const std::shared_ptr<job>& item)
{
    if (!item->done) return;
    const handler done = std::exchange(item->done, nullptr);
    if (item->failed) {
        done(std::nullopt);
        return;
    }
    config_documents documents{item->manifest, {}};
    for (const std::string& name : item->wanted) {
        const auto found = this->fetched.find(name);
        if (found != this->fetched.end()) documents.shards.insert(*found);
    }
    this->fetched.clear();
    done(std::move(documents));
}

} // namespace worksshift
