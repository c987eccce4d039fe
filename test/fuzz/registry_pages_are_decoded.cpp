/** \file
 * Arbitrary content of one entry of a registry page must not affect the other entries, and decoding
 * must end with a page or with a peer_error.
 */
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "errors.h"
#include "platform.h"

namespace {

using namespace worksshift;

const std::string valid_document =
    R"({"service":"desk","address":"127.0.0.1:1","zone":"dc","version":"v1",)"
    R"("slots":4,"state":"ready","coldRemainingMs":0,"sequence":1})";

/** JSON values of any kind, and malformed text that resembles JSON. */
rc::Gen<std::string> any_value(int depth)
{
    const auto text = rc::gen::map(
        rc::gen::container<std::string>(rc::gen::inRange('\x01', '\x7f')), [](std::string raw) {
            std::erase_if(raw,
                          [](char character) { return character == '"' || character == '\\'; });
            return "\"" + raw + "\"";
        });
    const auto bytes =
        rc::gen::map(rc::gen::container<std::string>(rc::gen::inRange('\x80', '\xff')),
                     [](const std::string& raw) { return "\"" + raw + "\""; });
    const auto plain = rc::gen::element<std::string>(
        "null", "true", "0", "-1", "1e999", "-0.0", "NaN", "Infinity", "18446744073709551616",
        "1.5", R"("\u0000")", R"("\ud800")", R"("\x")", "nul", "+1", "0x1");
    if (depth == 0) return rc::gen::oneOf(text, bytes, plain);
    const auto inner = any_value(depth - 1);
    const auto list = rc::gen::map(rc::gen::pair(inner, inner), [](const auto& pair) {
        return "[" + pair.first + "," + pair.second + "]";
    });
    const auto object = rc::gen::map(rc::gen::pair(inner, inner), [](const auto& pair) {
        return R"({"name":)" + pair.first + R"(,"slots":)" + pair.second + "}";
    });
    return rc::gen::oneOf(text, bytes, plain, list, object);
}

std::string page_item(const std::string& metadata, const std::string& document)
{
    return R"({"metadata":)" + metadata + R"(,"spec":)" + document + "}";
}

const std::string valid_metadata = R"({"name":"a","revision":3})";

/** A valid entry with the value of one field replaced. */
std::string with_field(const std::string& field, const std::string& value)
{
    const std::size_t at = valid_document.find("\"" + field + "\":") + field.size() + 3;
    const std::size_t end = valid_document.find_first_of(",}", at);
    return valid_document.substr(0, at) + value + valid_document.substr(end);
}

class registry_pages_are_decoded : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(registry_pages_are_decoded);
    CPPUNIT_TEST(invalid_entry_does_not_affect_others);
    CPPUNIT_TEST(any_field_is_decoded_or_rejected);
    CPPUNIT_TEST(any_bytes_give_a_page_or_an_error);
    CPPUNIT_TEST_SUITE_END();

    protocol adapter = platform_protocol();

    /** Decodes the object as a server; any exception but peer_error fails the test. */
    void decode_or_reject(const stored_object& object) const
    {
        try {
            const server_record record = this->adapter.decode_server(object);
            RC_ASSERT(!record.service.empty() && record.slots > 0 && record.address.port > 0);
        } catch (const peer_error&) {
            // An invalid entry is rejected.
        }
    }

public:
    /** Guards against one malformed entry hiding the valid entries of its page. */
    void invalid_entry_does_not_affect_others()
    {
        const bool passed = rc::check("any entry costs itself only", [this] {
            const std::string other = page_item(*any_value(2), *any_value(2));
            const std::string page = R"({"items":[)" + page_item(valid_metadata, valid_document) +
                                     "," + other + "," + page_item(valid_metadata, valid_document) +
                                     R"(],"asOf":5})";
            const object_page decoded = this->adapter.decode_page(page);
            RC_ASSERT(decoded.objects.size() + decoded.unreadable == 3U);
            RC_ASSERT(this->adapter.decode_server(decoded.objects.front()).slots == 4U);
            RC_ASSERT(this->adapter.decode_server(decoded.objects.back()).slots == 4U);
        });
        CPPUNIT_ASSERT(passed);
    }

    /** Guards against a field of unexpected type or value raising anything but peer_error. */
    void any_field_is_decoded_or_rejected()
    {
        const bool passed = rc::check("any field is read or refused", [this] {
            const auto field =
                *rc::gen::element<std::string>("service", "address", "zone", "version", "slots",
                                               "state", "coldRemainingMs", "sequence");
            stored_object object;
            object.name = "a";
            object.document = with_field(field, *any_value(1));
            this->decode_or_reject(object);
        });
        CPPUNIT_ASSERT(passed);
    }

    /** Guards against a corrupt or truncated page raising anything but peer_error. */
    void any_bytes_give_a_page_or_an_error()
    {
        const bool passed = rc::check("any bytes end in a page or an error", [this] {
            std::string page = R"({"events":[{"removed":false,"object":)" +
                               page_item(valid_metadata, valid_document) + R"(}],"asOf":5})";
            const auto at = *rc::gen::inRange<std::size_t>(0, page.size());
            page[at] = *rc::gen::arbitrary<char>();
            if (*rc::gen::arbitrary<bool>()) page.resize(at);
            try {
                for (const stored_object& object : this->adapter.decode_page(page).objects)
                    this->decode_or_reject(object);
            } catch (const peer_error&) {
                // The caller treats this as a failed call.
            }
        });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_pages_are_decoded);

} // namespace
