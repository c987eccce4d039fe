/** \file
 * Fetches from the platform the shards of a manifest that this VM does not hold.
 *
 * With 36,000 accounts, an initial configuration has about 300 shards. A bounded number of reads is
 * in flight at a time, within the VM's limit on the rate of platform calls. Shards that were read
 * are kept until the configuration is complete, so that a fetch that failed is resumed by the next.
 */
#pragma once

#include <functional>
#include <memory>

#include "platform_client.h"
#include "sync_config.h"

namespace worksshift {

/** Name of the manifest object. */
constexpr const char* manifest_object = "config/manifest";
/** Name of a shard's object. */
std::string shard_object(const std::string& name);

class shard_fetcher {
public:
    /** Receives std::nullopt if a shard could not be read; the fetch may be retried later. */
    using handler = std::function<void(std::optional<config_documents>)>;

    shard_fetcher(platform_client& platform, const config_state& local)
        : platform(platform), local(local)
    {
    }

    /** Fetches the shards that this VM does not hold. \p manifest is the parsed form of
     * \p manifest_text. */
    void fetch(const std::string& manifest_text, const parsed_manifest& manifest, handler done);

private:
    struct pending_fetch;

    void start_next(const std::shared_ptr<pending_fetch>& pending);
    void handle_shard(const std::shared_ptr<pending_fetch>& pending, const std::string& name,
                      const object_result& result);
    void finish(const std::shared_ptr<pending_fetch>& pending);

    platform_client& platform;
    const config_state& local;
    shard_map fetched; ///< shards of a configuration that is not complete yet
};

} // namespace worksshift
