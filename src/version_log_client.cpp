#include "version_log_client.h"

#include <algorithm>
#include <utility>

#include "errors.h"
#include "log.h"

namespace worksshift {

namespace {

constexpr int ok = 200;
constexpr int created = 201;
constexpr int gone = 410;
/** Name of the stored object. */
constexpr std::string_view record_name = "log";
/** The store answers a call for changes after this time, also if there are none. */
constexpr milliseconds changes_wait{1};

instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

version_log_client::version_log_client(http_client& caller, const link_address& store,
                                       const protocol& adapter, const server_table& servers,
                                       revision_source registry_revision, metrics& telemetry)
    : caller(caller), store(store), adapter(adapter), servers(servers),
      registry_revision(std::move(registry_revision)), telemetry(telemetry)
{
}

void version_log_client::ask(service_id service, only_version_handler handler)
{
    this->waiting.push_back({std::move(service), std::move(handler)});
}

void version_log_client::tick(bool writes, std::size_t vms, instant now)
{
    if (this->reading != nullptr || this->registry_revision() == 0) return;
    const bool for_writing = writes && now - this->write_begun_at >= write_period;
    const duration interval = std::max<duration>(
        min_read_interval, read_interval_per_vm * static_cast<std::int64_t>(vms));
    const bool asked = !this->waiting.empty() && now - this->read_begun_at >= interval;
    if (for_writing || asked) this->begin_read(for_writing, now);
}

void version_log_client::begin_read(bool for_writing, instant now)
{
    this->read_begun_at = now;
    if (for_writing) this->write_begun_at = now;
    this->reading = std::make_unique<version_log_read>();
    this->reading->questions = std::exchange(this->waiting, {});
    this->reading->for_writing = for_writing;
    if (for_writing || this->log == nullptr) {
        this->read_record();
    } else {
        this->read_changes();
    }
}

void version_log_client::call(const std::string& path, page_handler handler)
{
    ++this->calls_made;
    this->caller.call(this->store, "GET", path, {}, {}, {read_timeout},
                      [this, handler](const http_response& response) {
                          this->handle_response(response, handler);
                      });
}

void version_log_client::handle_response(const http_response& response, page_handler handler)
{
    if (response.status == gone) {
        this->handle_history_gone();
    } else if (response.status != ok) {
        this->fail_read("status " + std::to_string(response.status));
    } else {
        try {
            (this->*handler)(this->adapter.decode_page(response.body), now());
        } catch (const error& fault) {
            this->fail_read(fault.what());
        }
    }
}

void version_log_client::read_record()
{
    this->call(this->adapter.list_path(object_kind::version_logs, {}, read_mode::linearizable),
               &version_log_client::handle_record);
}

void version_log_client::handle_record(const object_page& page, instant now)
{
    const auto record = std::ranges::find(page.objects, record_name, &stored_object::name);
    this->record_revision = record == page.objects.end() ? 0 : record->revision;
    const bool needed = this->log == nullptr;
    if (needed && this->record_revision != 0) {
        try {
            this->log = std::make_unique<version_log>(version_log::decode(record->document, now));
        } catch (const error& fault) {
            log_event(log_level::error, "version_log_unreadable",
                      {{"revision", this->record_revision}, {"reason", fault.what()}});
        }
    }
    this->reading->from_store = needed;
    if (this->log != nullptr) {
        this->read_changes();
    } else {
        this->call(this->adapter.list_path(object_kind::configuration, {}, read_mode::linearizable),
                   &version_log_client::handle_configuration);
    }
}

/** No request was served before the first configuration was written. */
void version_log_client::handle_configuration(const object_page& page, instant /*now*/)
{
    const auto first = std::ranges::min_element(page.objects, {}, &stored_object::created_revision);
    if (first == page.objects.end() || first->created_revision == 0) {
        this->fail_read("no configuration with the revision of its creation");
        return;
    }
    // The servers in the table may be those of an older revision.
    this->log = std::make_unique<version_log>(
        version_log::since_first_use(std::min(first->created_revision, this->registry_revision())));
    this->read_changes();
}

void version_log_client::read_changes()
{
    if (++this->reading->calls_for_changes > max_calls_for_changes) {
        this->fail_read("the registry changes faster than it is read");
        return;
    }
    this->call(this->adapter.watch_path(object_kind::servers, this->log->revision(), changes_wait,
                                        read_mode::linearizable),
               &version_log_client::handle_changes);
}

void version_log_client::handle_changes(const object_page& page, instant now)
{
    if (page.unreadable > 0) {
        this->log.reset();
        this->fail_read("a change has no readable name");
        return;
    }
    if (page.revision < this->log->revision()) {
        // A log of a revision that the store has not reached is none that a VM stored there.
        if (this->reading->from_store) {
            this->handle_history_gone();
        } else {
            this->fail_read("the store returned an older revision");
        }
        return;
    }
    this->log->apply(this->decode_changes(page), page.revision);
    this->reading->changes += page.objects.size();
    const bool complete = page.objects.empty() && this->registry_revision() <= page.revision;
    if (complete) {
        this->complete_read(now);
    } else {
        this->read_changes();
    }
}

void version_log_client::handle_history_gone()
{
    this->log.reset();
    if (!this->reading->from_store) {
        this->read_record();
    } else if (this->reading->for_writing && !std::exchange(this->reading->begun_anew, true)) {
        log_event(log_level::warn, "version_log_begun", {{"revision", this->registry_revision()}});
        this->log =
            std::make_unique<version_log>(version_log::since_revision(this->registry_revision()));
        this->read_changes();
    } else {
        this->fail_read("the store's history does not reach back to a version log");
    }
}

void version_log_client::complete_read(instant now)
{
    this->log->complete(this->listed_versions(), this->registry_revision(), now);
    const version_log_read read = std::move(*this->reading);
    this->reading.reset();
    log_event(log_level::info, "version_log_read",
              {{"revision", this->log->revision()},
               {"changes", read.changes},
               {"versions", this->log->versions()},
               {"covers", this->log->covers_lifetime(now) ? 1 : 0},
               {"questions", read.questions.size()}});
    this->telemetry.count("worksshift_version_log_reads_total{complete=\"1\"}");
    if (read.for_writing) this->write(now);
    for (const only_version_question& asked : read.questions)
        asked.handler(this->log->only_version(asked.service, now));
}

void version_log_client::fail_read(std::string_view reason)
{
    const version_log_read read = std::move(*this->reading);
    this->reading.reset();
    log_event(log_level::warn, "version_log_not_read",
              {{"reason", reason},
               {"revision", this->log == nullptr ? 0 : this->log->revision()},
               {"registry_revision", this->registry_revision()},
               {"questions", read.questions.size()}});
    this->telemetry.count("worksshift_version_log_reads_total{complete=\"0\"}");
    for (const only_version_question& asked : read.questions)
        asked.handler(std::nullopt);
}

void version_log_client::write(instant now)
{
    ++this->calls_made;
    const object_write content{object_kind::version_logs, std::string(record_name),
                               this->record_revision, this->log->encode(now)};
    const store_write call = this->adapter.encode_write(content);
    this->caller.call(this->store, call.method, call.path, call.headers, call.body, {write_timeout},
                      [this, revision = this->log->revision()](const http_response& response) {
                          const bool written = response.status == ok || response.status == created;
                          log_event(written ? log_level::info : log_level::warn,
                                    "version_log_written",
                                    {{"revision", revision}, {"status", response.status}});
                          this->telemetry.count("worksshift_version_log_writes_total{written=\"" +
                                                std::to_string(written ? 1 : 0) + "\"}");
                      });
}

std::vector<registry_change> version_log_client::decode_changes(const object_page& page) const
{
    std::vector<registry_change> changes(page.objects.size());
    std::ranges::transform(page.objects, changes.begin(), [this](const stored_object& object) {
        registry_change change{object.name, object.revision, object.created_revision,
                               object.removed, std::nullopt};
        try {
            const server_record record = this->adapter.decode_server(object);
            change.server = {record.service, software_version_of(record.version)};
        } catch (const error&) {
            // No VM sends requests to a server whose entry is not readable.
        }
        return change;
    });
    return changes;
}

std::set<service_version> version_log_client::listed_versions() const
{
    std::set<service_version> versions;
    for (const auto& [id, row] : this->servers.rows()) {
        if (!row.gone) versions.insert({row.record.service, row.software});
    }
    return versions;
}

} // namespace worksshift
