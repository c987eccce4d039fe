/** \file
 * Entries of the registry that no server wrote name no server to use, whatever they hold; the
 * others hold, and the log stays short.
 */
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <cppunit/extensions/HelperMacros.h>

#include "errors.h"
#include "platform.h"
#include "server_registry.h"
#include "support/router_fleet.h"

namespace {

using namespace support;
using namespace worksshift;

constexpr told_by_store as_it_happens{true};

const std::string sound = R"({"service":"desk","address":"127.0.0.1:1","zone":"dc","version":"v1",)"
                          R"("slots":4,"state":"ready","coldRemainingMs":0,"sequence":1})";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = sound;
    return text.replace(text.find(from), from.size(), to);
}

/** Each as another writer may have left it. */
std::vector<std::string> unsound_documents()
{
    const std::string deep(100'000, '[');
    return {
        "",
        "null",
        "7",
        "[]",
        R"("text")",
        "{}",
        replaced(R"("service":"desk",)", ""),
        replaced(R"("service":"desk")", R"("service":7)"),
        replaced(R"("service":"desk")", R"("service":"")"),
        replaced(R"("address":"127.0.0.1:1",)", ""),
        replaced(R"("address":"127.0.0.1:1")", R"("address":null)"),
        replaced(R"("127.0.0.1:1")", R"("127.0.0.1")"),
        replaced(R"("127.0.0.1:1")", R"("127.0.0.1:0")"),
        replaced(R"("127.0.0.1:1")", R"("127.0.0.1:70000")"),
        replaced(R"("127.0.0.1:1")", R"("a.example:80")"),
        replaced(R"("zone":"dc",)", ""),
        replaced(R"("zone":"dc")", R"("zone":["dc"])"),
        replaced(R"("version":"v1",)", ""),
        replaced(R"("version":"v1")", R"("version":{})"),
        replaced(R"("slots":4,)", ""),
        replaced(R"("slots":4)", R"("slots":"4")"),
        replaced(R"("slots":4)", R"("slots":-4)"),
        replaced(R"("slots":4)", R"("slots":0)"),
        replaced(R"("slots":4)", R"("slots":1e30)"),
        replaced(R"("slots":4)", R"("slots":99999999999999999999)"),
        replaced(R"("slots":4)", R"("slots":1e999)"),
        replaced(R"("slots":4)", R"("slots":NaN)"),
        replaced(R"("slots":4)", R"("slots":null)"),
        replaced(R"(,"state":"ready")", ""),
        replaced(R"("state":"ready")", R"("state":"resting")"),
        replaced(R"("state":"ready")", R"("state":true)"),
        replaced(R"("coldRemainingMs":0,)", ""),
        replaced(R"("coldRemainingMs":0)", R"("coldRemainingMs":"soon")"),
        replaced(R"(,"sequence":1)", ""),
        replaced(R"("sequence":1)", R"("sequence":1.5)"),
        replaced(R"("sequence":1)", R"("sequence":-1)"),
        replaced(R"("sequence":1)", R"("sequence":1,"born":"today")"),
        replaced(R"("sequence":1)", R"("sequence":1,"born":1.5)"),
        replaced(R"("sequence":1)", R"("sequence":1,"born":-5)"),
        replaced(R"("v1")", "\"\xc3\x28\""),
        replaced(R"("v1")", "\"\x01\""),
        sound.substr(0, sound.size() - 1),
        sound + "}",
        deep,
    };
}

stored_object entry(const std::string& name, const std::string& document)
{
    stored_object made;
    made.name = name;
    made.document = document;
    return made;
}

std::string item(const std::string& name, const std::string& document)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" + document + "}";
}

std::string page_of(const std::string& items)
{
    return R"({"items":[)" + items + R"(],"truncated":false,"asOf":9})";
}

class registry_entries_by_others : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(registry_entries_by_others);
    CPPUNIT_TEST(unsound_entries_name_no_server);
    CPPUNIT_TEST(further_fields_do_no_harm);
    CPPUNIT_TEST(names_that_cannot_be_sent_are_refused);
    CPPUNIT_TEST(entry_that_turns_unsound_is_a_server_gone);
    CPPUNIT_TEST(page_with_one_unsound_entry_keeps_the_others);
    CPPUNIT_TEST(page_that_is_none_is_refused);
    CPPUNIT_TEST(routers_serve_beside_thousands_of_them);
    CPPUNIT_TEST_SUITE_END();

    protocol dialect = platform_protocol();

    static std::size_t unreadable(router_fleet& fleet)
    {
        const std::string name = "worksshift_registry_unreadable_total ";
        const std::string text = fleet.metrics(0);
        return std::stoul(text.substr(text.find(name) + name.size()));
    }

public:
    void unsound_entries_name_no_server()
    {
        for (const std::string& document : unsound_documents()) {
            server_table table(data_centre_id{"dc"});
            server_registry registry(table, this->dialect);
            const std::vector<stored_object> all{entry("a", sound), entry("b", document)};
            registry.take_list(all, told_by_store{}, instant(seconds(1000)));
            const std::string start = document.substr(0, 200);
            CPPUNIT_ASSERT_MESSAGE(start, table.find(server_id{"a"}) != nullptr);
            CPPUNIT_ASSERT_MESSAGE(start, table.find(server_id{"b"}) == nullptr);
        }
    }

    void further_fields_do_no_harm()
    {
        const std::string more =
            replaced(R"("sequence":1)", R"("sequence":1,"born":1790000000000,"x":[{}],"y":null)");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, this->dialect.decode_server(entry("a", more)).slots);
    }

    /** The id of a server is sent in a header line. */
    void names_that_cannot_be_sent_are_refused()
    {
        for (const std::string name : {"", "a b", "a\r\nX-Other: 1", "a\x7f", "\xc3\xa4"})
            CPPUNIT_ASSERT_THROW(this->dialect.decode_server(entry(name, sound)), peer_error);
    }

    void entry_that_turns_unsound_is_a_server_gone()
    {
        server_table table(data_centre_id{"dc"});
        server_registry registry(table, this->dialect);
        const instant now = instant(seconds(1000));
        std::vector<stored_object> all;
        for (const std::string name : {"a", "b", "c", "d"})
            all.push_back(entry(name, sound));
        registry.take_list(all, told_by_store{}, now);
        registry.take_change(entry("a", "{}"), as_it_happens, now + seconds(10));
        registry.sweep(now + seconds(12), now);
        CPPUNIT_ASSERT(table.find(server_id{"a"})->gone);
        registry.take_change(entry("a", sound), as_it_happens, now + seconds(13));
        CPPUNIT_ASSERT(table.find(server_id{"a"})->takes_work());
    }

    void page_with_one_unsound_entry_keeps_the_others()
    {
        std::vector<std::string> unsound;
        for (const std::string& document : unsound_documents()) {
            // What breaks the brackets of the page cannot come out of a store.
            if (document.ends_with('}') && document != sound + "}") unsound.push_back(document);
        }
        unsound.insert(unsound.end(), {"null", "7", "[]", R"("\ud800")", "NaN", "1e999"});
        for (const std::string& document : unsound) {
            const object_page page = this->dialect.decode_page(
                page_of(item("a", sound) + "," + item("b", document) + "," + item("c", sound)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(document, std::size_t{3}, page.objects.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(document, std::string("c"), page.objects[2].name);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page.revision);
        }
        for (const std::string other :
             {"null", "7", "{}", R"({"metadata":null,"spec":{}})", R"({"metadata":{"name":7}})",
              R"({"metadata":{"name":"b","revision":"x"},"spec":{}})"}) {
            const object_page page = this->dialect.decode_page(
                page_of(item("a", sound) + "," + other + "," + item("c", sound)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(other, std::size_t{2}, page.objects.size());
            const std::string events = R"({"removed":false,"object":)" + item("a", sound) + "}," +
                                       R"({"removed":false,"object":)" + other + "}," +
                                       R"({"removed":true,"object":)" + item("c", sound) + "}";
            const object_page batch =
                this->dialect.decode_page(R"({"events":[)" + events + R"(],"asOf":9})");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(other, std::size_t{2}, batch.objects.size());
            CPPUNIT_ASSERT(batch.objects[1].removed);
        }
    }

    void page_that_is_none_is_refused()
    {
        for (const std::string body : {"", "null", "[]", "{", R"({"items":7})", R"({"items":[1)",
                                       R"({"items":[],"asOf":"x"})", "\xff\xfe"}) {
            CPPUNIT_ASSERT_THROW_MESSAGE(body, this->dialect.decode_page(body), peer_error);
        }
    }

    static void routers_serve_beside_thousands_of_them()
    {
        std::string logs = "/tmp/worksshift-logs-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(logs.data()) != nullptr);
        ::setenv("WORKSSHIFT_TEST_LOGS", logs.c_str(), 1);
        router_fleet fleet(1);
        fleet.set_config(example_config(1));
        fleet.add_server("m", "desk", [](const std::string& request) {
            return scripted_answer{answer_text(200, request, "x"), scripted_answer::then::keep};
        });
        constexpr int entries = 3000;
        const std::vector<std::string> documents = unsound_documents();
        std::vector<std::string> storable;
        std::ranges::copy_if(documents, std::back_inserter(storable), [](const auto& document) {
            return document.ends_with('}') && document != sound + "}";
        });
        for (int i = 0; i < entries; ++i) {
            const auto& document = storable[static_cast<std::size_t>(i) % storable.size()];
            fleet.store->put("servers", "x" + std::to_string(i), document);
        }
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.all_ready());
        CPPUNIT_ASSERT_EQUAL(200, status_in(fleet.ask(0, request_text("GET", "/safe/x", "r1"))));
        // The last page must have come before the watch can go on behind it.
        CPPUNIT_ASSERT(
            fleet.run_until([&] { return fleet.store->waiting_for("servers") == 1; }, seconds(5)));
        const std::size_t before = unreadable(fleet);
        CPPUNIT_ASSERT(before >= std::size_t{entries});
        fleet.store->put("servers", "x0", "{}");
        CPPUNIT_ASSERT(
            fleet.run_until([&] { return unreadable(fleet) == before + 1; }, seconds(5)));
        constexpr std::ptrdiff_t lines_at_most = 20;
        std::ifstream log(logs + "/router-0.log");
        std::ptrdiff_t lines = 0;
        for (std::string line; std::getline(log, line);)
            lines += line.find("unreadable") == std::string::npos ? 0 : 1;
        ::unsetenv("WORKSSHIFT_TEST_LOGS");
        std::filesystem::remove_all(logs);
        CPPUNIT_ASSERT(lines > 0 && lines <= lines_at_most);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_entries_by_others);

} // namespace
