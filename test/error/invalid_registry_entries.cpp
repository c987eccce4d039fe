/** \file
 * Registry entries that no server wrote never become servers, whatever they contain; the valid
 * entries beside them are used, and the log stays short.
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

constexpr store_origin from_watch{true};

const std::string valid_document =
    R"({"service":"desk","address":"127.0.0.1:1","zone":"dc","version":"v1",)"
    R"("slots":4,"state":"ready","coldRemainingMs":0,"sequence":1})";

std::string with_replacement(const std::string& from, const std::string& to)
{
    std::string text = valid_document;
    return text.replace(text.find(from), from.size(), to);
}

/** Documents that another writer may have left in the registry. */
std::vector<std::string> invalid_documents()
{
    const std::string deeply_nested(100'000, '[');
    return {
        "",
        "null",
        "7",
        "[]",
        R"("text")",
        "{}",
        with_replacement(R"("service":"desk",)", ""),
        with_replacement(R"("service":"desk")", R"("service":7)"),
        with_replacement(R"("service":"desk")", R"("service":"")"),
        with_replacement(R"("address":"127.0.0.1:1",)", ""),
        with_replacement(R"("address":"127.0.0.1:1")", R"("address":null)"),
        with_replacement(R"("127.0.0.1:1")", R"("127.0.0.1")"),
        with_replacement(R"("127.0.0.1:1")", R"("127.0.0.1:0")"),
        with_replacement(R"("127.0.0.1:1")", R"("127.0.0.1:70000")"),
        with_replacement(R"("127.0.0.1:1")", R"("a.example:80")"),
        with_replacement(R"("zone":"dc",)", ""),
        with_replacement(R"("zone":"dc")", R"("zone":["dc"])"),
        with_replacement(R"("version":"v1",)", ""),
        with_replacement(R"("version":"v1")", R"("version":{})"),
        with_replacement(R"("slots":4,)", ""),
        with_replacement(R"("slots":4)", R"("slots":"4")"),
        with_replacement(R"("slots":4)", R"("slots":-4)"),
        with_replacement(R"("slots":4)", R"("slots":0)"),
        with_replacement(R"("slots":4)", R"("slots":1e30)"),
        with_replacement(R"("slots":4)", R"("slots":99999999999999999999)"),
        with_replacement(R"("slots":4)", R"("slots":1e999)"),
        with_replacement(R"("slots":4)", R"("slots":NaN)"),
        with_replacement(R"("slots":4)", R"("slots":null)"),
        with_replacement(R"(,"state":"ready")", ""),
        with_replacement(R"("state":"ready")", R"("state":"resting")"),
        with_replacement(R"("state":"ready")", R"("state":true)"),
        with_replacement(R"("coldRemainingMs":0,)", ""),
        with_replacement(R"("coldRemainingMs":0)", R"("coldRemainingMs":"soon")"),
        with_replacement(R"(,"sequence":1)", ""),
        with_replacement(R"("sequence":1)", R"("sequence":1.5)"),
        with_replacement(R"("sequence":1)", R"("sequence":-1)"),
        with_replacement(R"("sequence":1)", R"("sequence":1,"born":"today")"),
        with_replacement(R"("sequence":1)", R"("sequence":1,"born":1.5)"),
        with_replacement(R"("sequence":1)", R"("sequence":1,"born":-5)"),
        with_replacement(R"("v1")", "\"\xc3\x28\""),
        with_replacement(R"("v1")", "\"\x01\""),
        valid_document.substr(0, valid_document.size() - 1),
        valid_document + "}",
        deeply_nested,
    };
}

stored_object entry(const std::string& name, const std::string& document)
{
    stored_object object;
    object.name = name;
    object.document = document;
    return object;
}

std::string page_item(const std::string& name, const std::string& document)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" + document + "}";
}

std::string page_of(const std::string& items)
{
    return R"({"items":[)" + items + R"(],"truncated":false,"asOf":9})";
}

class invalid_registry_entries : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(invalid_registry_entries);
    CPPUNIT_TEST(invalid_entries_add_no_server);
    CPPUNIT_TEST(unknown_fields_are_ignored);
    CPPUNIT_TEST(names_invalid_in_a_header_are_rejected);
    CPPUNIT_TEST(entry_that_becomes_invalid_removes_its_server);
    CPPUNIT_TEST(page_with_one_invalid_entry_keeps_the_others);
    CPPUNIT_TEST(malformed_page_is_rejected);
    CPPUNIT_TEST(routers_serve_despite_thousands_of_invalid_entries);
    CPPUNIT_TEST_SUITE_END();

    protocol adapter = platform_protocol();

    static std::size_t unreadable(router_fleet& fleet)
    {
        const std::string name = "worksshift_registry_unreadable_total ";
        const std::string text = fleet.metrics(0);
        return std::stoul(text.substr(text.find(name) + name.size()));
    }

public:
    /** Guards against an invalid entry that becomes a server or affects the entry beside it. */
    void invalid_entries_add_no_server()
    {
        for (const std::string& document : invalid_documents()) {
            server_table table(data_centre_id{"dc"});
            server_registry registry(table, this->adapter);
            const std::vector<stored_object> all{entry("a", valid_document), entry("b", document)};
            registry.apply_list(all, store_origin{}, instant(seconds(1000)));
            const std::string start = document.substr(0, 200);
            CPPUNIT_ASSERT_MESSAGE(start, table.find(server_id{"a"}) != nullptr);
            CPPUNIT_ASSERT_MESSAGE(start, table.find(server_id{"b"}) == nullptr);
        }
    }

    /** Guards against rejecting an entry that has unknown fields. */
    void unknown_fields_are_ignored()
    {
        const std::string with_unknown_fields = with_replacement(
            R"("sequence":1)", R"("sequence":1,"born":1790000000000,"x":[{}],"y":null)");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4},
                             this->adapter.decode_server(entry("a", with_unknown_fields)).slots);
    }

    /** The id of a server is sent in a header line, so it must not be empty or contain blanks,
     * control characters or bytes outside ASCII. */
    void names_invalid_in_a_header_are_rejected()
    {
        for (const std::string name : {"", "a b", "a\r\nX-Other: 1", "a\x7f", "\xc3\xa4"}) {
            CPPUNIT_ASSERT_THROW(this->adapter.decode_server(entry(name, valid_document)),
                                 peer_error);
        }
    }

    /** Guards against a server that stays in use after its entry has become invalid, or that is not
     * used again once the entry is valid. */
    void entry_that_becomes_invalid_removes_its_server()
    {
        server_table table(data_centre_id{"dc"});
        server_registry registry(table, this->adapter);
        const instant now = instant(seconds(1000));
        std::vector<stored_object> all;
        for (const std::string name : {"a", "b", "c", "d"})
            all.push_back(entry(name, valid_document));
        registry.apply_list(all, store_origin{}, now);
        registry.apply_change(entry("a", "{}"), from_watch, now + seconds(10));
        registry.sweep(now + seconds(12), now);
        CPPUNIT_ASSERT(table.find(server_id{"a"})->gone);
        registry.apply_change(entry("a", valid_document), from_watch, now + seconds(13));
        CPPUNIT_ASSERT(table.find(server_id{"a"})->accepts_requests());
    }

    /** Guards against one invalid entry or event that makes the whole page unusable. */
    void page_with_one_invalid_entry_keeps_the_others()
    {
        std::vector<std::string> invalid;
        for (const std::string& document : invalid_documents()) {
            // A store cannot return a document that breaks the brackets of the page.
            if (document.ends_with('}') && document != valid_document + "}")
                invalid.push_back(document);
        }
        invalid.insert(invalid.end(), {"null", "7", "[]", R"("\ud800")", "NaN", "1e999"});
        for (const std::string& document : invalid) {
            const object_page page = this->adapter.decode_page(
                page_of(page_item("a", valid_document) + "," + page_item("b", document) + "," +
                        page_item("c", valid_document)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(document, std::size_t{3}, page.objects.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(document, std::string("c"), page.objects[2].name);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page.revision);
        }
        for (const std::string other :
             {"null", "7", "{}", R"({"metadata":null,"spec":{}})", R"({"metadata":{"name":7}})",
              R"({"metadata":{"name":"b","revision":"x"},"spec":{}})"}) {
            const object_page page =
                this->adapter.decode_page(page_of(page_item("a", valid_document) + "," + other +
                                                  "," + page_item("c", valid_document)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(other, std::size_t{2}, page.objects.size());
            const std::string events =
                R"({"removed":false,"object":)" + page_item("a", valid_document) + "}," +
                R"({"removed":false,"object":)" + other + "}," + R"({"removed":true,"object":)" +
                page_item("c", valid_document) + "}";
            const object_page batch =
                this->adapter.decode_page(R"({"events":[)" + events + R"(],"asOf":9})");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(other, std::size_t{2}, batch.objects.size());
            CPPUNIT_ASSERT(batch.objects[1].removed);
        }
    }

    /** Guards against a malformed page that is decoded as an empty one. */
    void malformed_page_is_rejected()
    {
        for (const std::string body : {"", "null", "[]", "{", R"({"items":7})", R"({"items":[1)",
                                       R"({"items":[],"asOf":"x"})", "\xff\xfe"}) {
            CPPUNIT_ASSERT_THROW_MESSAGE(body, this->adapter.decode_page(body), peer_error);
        }
    }

    /** Guards against invalid entries that keep a router from serving, are not counted, or flood
     * the log. */
    static void routers_serve_despite_thousands_of_invalid_entries()
    {
        std::string logs = "/tmp/worksshift-logs-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(logs.data()) != nullptr);
        ::setenv("WORKSSHIFT_TEST_LOGS", logs.c_str(), 1);
        router_fleet fleet(1);
        fleet.set_config(example_config(1));
        fleet.add_server("m", "desk", [](const std::string& request) {
            return scripted_response{response_text(200, request, "x"),
                                     scripted_response::then::keep};
        });
        constexpr int entries = 3000;
        const std::vector<std::string> documents = invalid_documents();
        std::vector<std::string> storable;
        std::ranges::copy_if(documents, std::back_inserter(storable), [](const auto& document) {
            return document.ends_with('}') && document != valid_document + "}";
        });
        for (int i = 0; i < entries; ++i) {
            const auto& document = storable[static_cast<std::size_t>(i) % storable.size()];
            fleet.store->put("servers", "x" + std::to_string(i), document);
        }
        fleet.start_all();
        CPPUNIT_ASSERT(fleet.wait_until_all_ready());
        CPPUNIT_ASSERT_EQUAL(200, status_in(fleet.ask(0, request_text("GET", "/safe/x", "r1"))));
        // Waits until the list is complete and the watch has started.
        CPPUNIT_ASSERT(
            fleet.run_until([&] { return fleet.store->waiting_for("servers") == 1; }, seconds(5)));
        const std::size_t before = unreadable(fleet);
        CPPUNIT_ASSERT(before >= std::size_t{entries});
        fleet.store->put("servers", "x0", "{}");
        CPPUNIT_ASSERT(
            fleet.run_until([&] { return unreadable(fleet) == before + 1; }, seconds(5)));
        constexpr std::ptrdiff_t max_lines = 20;
        std::ifstream log(logs + "/router-0.log");
        std::ptrdiff_t lines = 0;
        for (std::string line; std::getline(log, line);)
            lines += line.find("unreadable") == std::string::npos ? 0 : 1;
        ::unsetenv("WORKSSHIFT_TEST_LOGS");
        std::filesystem::remove_all(logs);
        CPPUNIT_ASSERT(lines > 0 && lines <= max_lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invalid_registry_entries);

} // namespace
