/** \file
 * A compressed document from another VM is accepted only if it is complete and well-formed.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "errors.h"
#include "packed_text.h"

namespace {

using namespace worksshift;

class packed_documents_are_checked : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(packed_documents_are_checked);
    CPPUNIT_TEST(round_trip_is_lossless_and_compressed);
    CPPUNIT_TEST(truncated_document_is_rejected);
    CPPUNIT_TEST(uncompressed_bytes_are_rejected);
    CPPUNIT_TEST(length_over_the_limit_is_rejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string document()
    {
        std::string text;
        for (int i = 0; i < 500; ++i)
            text += R"({"name":"route-)" + std::to_string(i) + R"(","host":"a.example"},)";
        return text;
    }

public:
    /** Guards against documents that change in a round trip or are not compressed. */
    static void round_trip_is_lossless_and_compressed()
    {
        const std::string packed = pack(document());
        CPPUNIT_ASSERT_EQUAL(document(), unpack(packed, "vm"));
        CPPUNIT_ASSERT(packed.size() * 5 < document().size());
        CPPUNIT_ASSERT_EQUAL(std::string(), unpack(pack(""), "vm"));
    }

    /** Guards against accepting a truncated document. */
    static void truncated_document_is_rejected()
    {
        const std::string packed = pack(document());
        for (const std::size_t size : {std::size_t{0}, std::size_t{3}, packed.size() - 1})
            CPPUNIT_ASSERT_THROW(unpack(packed.substr(0, size), "vm"), peer_error);
    }

    /** Guards against accepting bytes that are not a compressed document, such as an error page. */
    static void uncompressed_bytes_are_rejected()
    {
        CPPUNIT_ASSERT_THROW(unpack("<html>not found</html>", "vm"), peer_error);
    }

    /** Guards against allocating memory for a length that no document has. */
    static void length_over_the_limit_is_rejected()
    {
        std::string packed = pack(document());
        packed[3] = '\x7f';
        CPPUNIT_ASSERT_THROW(unpack(packed, "vm"), peer_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(packed_documents_are_checked);

} // namespace
