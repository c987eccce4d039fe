#include "chat_directory.h"

namespace worksshift {

void chat_directory::record(const service_id& service, chat_key chat, const server_id& server,
                            instant used_at)
{
    const key id{service.hash(), chat};
    if (const auto found = this->index.find(id); found != this->index.end()) {
        // A record that another VM sent late must not replace a newer one.
        if (found->second->used_at > used_at) return;
        this->by_use.erase(found->second);
        this->index.erase(found);
    }
    this->by_use.push_front({service, chat, server, used_at});
    this->index[id] = this->by_use.begin();
    if (this->index.size() > this->capacity) {
        const entry& oldest = this->by_use.back();
        this->index.erase({oldest.service.hash(), oldest.chat});
        this->by_use.pop_back();
    }
}

std::optional<server_id> chat_directory::find(const service_id& service, chat_key chat,
                                              instant now) const
{
    const auto found = this->index.find({service.hash(), chat});
    if (found == this->index.end() || now - found->second->used_at > this->max_age) {
        return std::nullopt;
    }
    return found->second->server;
}

void chat_directory::forget(const service_id& service, chat_key chat)
{
    const auto found = this->index.find({service.hash(), chat});
    if (found == this->index.end()) return;
    this->by_use.erase(found->second);
    this->index.erase(found);
}

void chat_directory::expire(instant now)
{
    while (!this->by_use.empty() && now - this->by_use.back().used_at > this->max_age) {
        const entry& oldest = this->by_use.back();
        this->index.erase({oldest.service.hash(), oldest.chat});
        this->by_use.pop_back();
    }
}

} // namespace worksshift
