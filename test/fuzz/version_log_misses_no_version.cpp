/** \file
 * Property of the version log: whatever VMs are lost and whatever the store forgets, a version is
 * the only one of its service only if no server has had another one within the lifetime.
 */
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "errors.h"
#include "version_log.h"

namespace {

using namespace worksshift;

constexpr std::size_t service_count = 2;
constexpr std::size_t version_count = 3;
constexpr std::size_t entry_count = 4;
constexpr std::size_t vm_count = 3;

service_version draw_server()
{
    const auto service = *rc::gen::inRange<std::size_t>(0, service_count);
    const auto version = *rc::gen::inRange<std::uint32_t>(1, version_count + 1);
    return {{"service" + std::to_string(service)}, software_version{version}};
}

/** The registry with its true past, and the history that the store has not forgotten. */
struct registry_model {
    struct entry {
        service_version server;
        std::uint64_t created = 0;
    };
    std::uint64_t revision = 1;
    std::uint64_t history_from = 1;
    std::map<std::string, entry> entries;
    std::vector<registry_change> history;
    /** When a server of the version was last used; of those listed, up to now. */
    std::map<service_version, instant> used;
    /** State at each revision. */
    std::map<std::uint64_t, std::set<service_version>> states{{1, {}}};

    [[nodiscard]] std::set<service_version> listed() const
    {
        std::set<service_version> servers;
        for (const auto& [name, item] : this->entries)
            servers.insert(item.server);
        return servers;
    }
    void note_use(instant now)
    {
        for (const service_version& server : this->listed())
            this->used[server] = now;
    }
    void put(const std::string& name, const service_version& server, instant now)
    {
        this->note_use(now);
        ++this->revision;
        entry& item = this->entries[name];
        if (item.created == 0) item.created = this->revision;
        item.server = server;
        this->history.push_back({name, this->revision, item.created, false, server});
        this->note_use(now);
        this->states[this->revision] = this->listed();
    }
    void remove(const std::string& name, instant now)
    {
        const auto found = this->entries.find(name);
        if (found == this->entries.end()) return;
        this->note_use(now);
        ++this->revision;
        this->history.push_back(
            {name, this->revision, found->second.created, true, found->second.server});
        this->entries.erase(found);
        this->states[this->revision] = this->listed();
    }
    [[nodiscard]] std::vector<registry_change> changes_after(std::uint64_t from) const
    {
        std::vector<registry_change> changes;
        std::ranges::copy_if(this->history, std::back_inserter(changes),
                             [from](const auto& change) { return change.revision > from; });
        return changes;
    }
    [[nodiscard]] std::set<software_version> recent(const service_id& service, instant now)
    {
        this->note_use(now);
        std::set<software_version> versions;
        for (const auto& [server, last] : this->used) {
            if (server.service == service && now - last < version_log::lifetime)
                versions.insert(server.version);
        }
        return versions;
    }
};

struct vm_model {
    std::shared_ptr<version_log> log;    ///< nullptr: it has none
    std::uint64_t registry_revision = 0; ///< of the registry that it knows
};

class version_log_misses_no_version : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(version_log_misses_no_version);
    CPPUNIT_TEST(only_version_is_true);
    CPPUNIT_TEST(survives_the_loss_of_all_vms);
    CPPUNIT_TEST(replaced_entry_hides_its_former_version);
    CPPUNIT_TEST(malformed_logs_are_refused);
    CPPUNIT_TEST_SUITE_END();

    /** Reads the log of \p vm up to the newest revision, as `version_log_client` does. Returns
     * whether that was possible. */
    static bool read(vm_model& vm, const registry_model& registry,
                     const std::optional<std::string>& stored, std::uint64_t first_use, bool writes,
                     instant now)
    {
        const auto reachable = [&] {
            return vm.log != nullptr && vm.log->revision() >= registry.history_from;
        };
        if (!reachable()) {
            vm.log.reset();
            if (stored) {
                vm.log = std::make_shared<version_log>(version_log::decode(*stored, now));
            } else {
                vm.log = std::make_shared<version_log>(
                    version_log::since_first_use(std::min(first_use, vm.registry_revision)));
            }
        }
        if (!reachable() && writes) {
            vm.log =
                std::make_shared<version_log>(version_log::since_revision(vm.registry_revision));
        }
        if (!reachable()) {
            vm.log.reset();
            return false;
        }
        vm.log->apply(registry.changes_after(vm.log->revision()), registry.revision);
        vm.log->complete(registry.states.at(vm.registry_revision), vm.registry_revision, now);
        return true;
    }

public:
    /** Guards against a stream that goes on at another version because a log missed the one that
     * began it: after changes, losses of VMs, forgotten history and registries that are behind. */
    static void only_version_is_true()
    {
        const bool holds = rc::check("only versions", [] {
            instant now{std::chrono::hours(1)};
            registry_model registry;
            std::vector<vm_model> vms(vm_count);
            std::optional<std::string> stored;
            // Servers that were listed before the first configuration was written.
            const auto before = *rc::gen::inRange<std::size_t>(0, entry_count);
            for (std::size_t i = 0; i < before; ++i)
                registry.put("entry" + std::to_string(i), draw_server(), now);
            const std::uint64_t first_use = registry.revision;
            registry.used.clear();
            const auto steps = *rc::gen::inRange<std::size_t>(10, 120);
            for (std::size_t step = 0; step < steps; ++step) {
                const std::string name =
                    "entry" + std::to_string(*rc::gen::inRange<std::size_t>(0, entry_count));
                vm_model& vm = vms.at(*rc::gen::inRange<std::size_t>(0, vm_count));
                switch (*rc::gen::inRange(0, 12)) {
                case 0:
                case 1:
                    registry.put(name, draw_server(), now);
                    break;
                case 2:
                case 3:
                    registry.remove(name, now);
                    break;
                case 4:
                    registry.note_use(now);
                    now += seconds(*rc::gen::inRange(0, 70));
                    break;
                case 5:
                    registry.note_use(now);
                    now += milliseconds(*rc::gen::inRange(0, 500));
                    break;
                case 6: // the VM is lost and starts again
                    vm = vm_model();
                    break;
                case 7:
                    registry.history_from =
                        *rc::gen::inRange(registry.history_from, registry.revision + 1);
                    break;
                case 8: // the VM's registry follows
                    vm.registry_revision = *rc::gen::inRange(
                        std::max<std::uint64_t>(vm.registry_revision, 1), registry.revision + 1);
                    break;
                default: {
                    if (vm.registry_revision == 0) break;
                    const bool writes = *rc::gen::inRange(0, 2) == 1;
                    if (!read(vm, registry, stored, first_use, writes, now)) break;
                    if (writes) stored = vm.log->encode(now);
                    for (std::size_t i = 0; i < service_count; ++i) {
                        const service_id service{"service" + std::to_string(i)};
                        const auto only = vm.log->only_version(service, now);
                        if (!only) continue;
                        const auto recent = registry.recent(service, now);
                        RC_ASSERT(std::ranges::all_of(
                            recent, [&](software_version version) { return version == *only; }));
                    }
                }
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    /** Guards against a log that refuses everything: with one version, each VM that starts knows it
     * from the stored log, for as long as the log is renewed. */
    static void survives_the_loss_of_all_vms()
    {
        instant now{std::chrono::hours(1)};
        registry_model registry;
        const service_version server{{"service0"}, software_version{7}};
        registry.put("a", server, now);
        const std::uint64_t first_use = registry.revision;
        std::optional<std::string> stored;
        for (int i = 0; i < 40; ++i) {
            vm_model vm{nullptr, registry.revision};
            CPPUNIT_ASSERT(read(vm, registry, stored, first_use, true, now));
            CPPUNIT_ASSERT(vm.log->only_version(server.service, now) == server.version);
            stored = vm.log->encode(now);
            registry.put("b" + std::to_string(i), server, now);
            registry.history_from = registry.revision - 1;
            now += seconds(5);
        }
    }

    /** Guards against a log that begins amid the life of an entry and takes what it says now for
     * what it said before. */
    static void replaced_entry_hides_its_former_version()
    {
        instant now{std::chrono::hours(1)};
        registry_model registry;
        registry.put("a", {{"service0"}, software_version{1}}, now);
        const std::uint64_t first_use = registry.revision;
        registry.put("a", {{"service0"}, software_version{2}}, now);
        vm_model vm{nullptr, registry.revision};
        CPPUNIT_ASSERT(read(vm, registry, std::nullopt, first_use, false, now));
        CPPUNIT_ASSERT(!vm.log->only_version({"service0"}, now));
        // It counts once it has been known for as long as streams can be taken up.
        now += version_log::lifetime;
        CPPUNIT_ASSERT(read(vm, registry, std::nullopt, first_use, false, now));
        CPPUNIT_ASSERT(vm.log->only_version({"service0"}, now) == software_version{2});
    }

    /** Guards against a belief taken from an object that no VM wrote. */
    static void malformed_logs_are_refused()
    {
        const instant now{std::chrono::hours(1)};
        version_log log = version_log::since_first_use(3);
        log.complete({{{"service0"}, software_version{1}}}, 3, now);
        const std::string text = log.encode(now);
        CPPUNIT_ASSERT_EQUAL(text, version_log::decode(text, now).encode(now));
        const std::vector<std::string> refused = {
            "",
            "null",
            "{}",
            "\"\xff\"",
            R"({"format":2,"revision":3,"entry_revision":0,"since_first_use":true,"versions":[]})",
            R"({"format":1,"revision":0,"entry_revision":0,"since_first_use":true,"versions":[]})",
            R"({"format":1,"revision":3,"entry_revision":4,"since_first_use":true,"versions":[]})",
            R"({"format":1,"revision":3,"entry_revision":0,"versions":[]})",
            R"({"format":1,"revision":3,"entry_revision":0,"known_ms":-1,"versions":[]})",
            R"({"format":1,"revision":3,"entry_revision":0,"known_ms":60001,"versions":[]})",
            R"({"format":1,"revision":3,"entry_revision":0,"since_first_use":true,"versions":[7]})",
            R"({"format":1,"revision":3,"entry_revision":0,"since_first_use":true,"versions":[{}]})"};
        for (const std::string& each : refused)
            CPPUNIT_ASSERT_THROW_MESSAGE(each, version_log::decode(each, now), peer_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_log_misses_no_version);

} // namespace
