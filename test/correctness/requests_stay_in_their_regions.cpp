/** \file
 * Guards against requests that leave their regions: a request may only go to servers in regions
 * that both its route and its client account allow. If there is none, it is refused at once.
 * Retries and copies of the prompt obey the same rule.
 */
#include <cppunit/extensions/HelperMacros.h>

#include "admission.h"
#include "platform.h"

namespace {

using namespace worksshift;

const service_id llm{"llm"};
const service_id desk{"desk"};

class requests_stay_in_their_regions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(requests_stay_in_their_regions);
    CPPUNIT_TEST(no_region_lists);
    CPPUNIT_TEST(regions_of_the_route);
    CPPUNIT_TEST(regions_of_route_and_account);
    CPPUNIT_TEST(regions_without_a_server);
    CPPUNIT_TEST(retries);
    CPPUNIT_TEST(prompt_copies);
    CPPUNIT_TEST(data_centres_of_unknown_region);
    CPPUNIT_TEST(region_lists_in_the_configuration);
    CPPUNIT_TEST_SUITE_END();

    instant now{seconds(1000)};
    server_table table{data_centre_id{"n1"}, 1U};

    /** Regions in which requests with many prompts, and requests to a plain service, are served. */
    std::set<std::string> served_in(const std::vector<region_id>& route,
                                    const std::vector<region_id>& account,
                                    std::span<const server_id> tried = {})
    {
        std::set<std::string> found;
        for (std::uint64_t prompt = 1; prompt <= 200; ++prompt) {
            placement_request wanted{prompt % 2 == 0 ? llm : desk, prompt % 2 == 0, prompt, tried,
                                     0};
            wanted.allowed_regions = {route, account};
            const placement_result where = this->table.choose(wanted, this->now);
            if (where.row == nullptr) continue;
            found.insert(where.row->region.text);
            if (where.cached_at != nullptr) found.insert(where.cached_at->region.text);
        }
        return found;
    }

    using names = std::set<std::string>;

public:
    void setUp() override
    {
        this->table.set_regions({{{"n1"}, {"north"}}, {{"s1"}, {"south"}}, {{"w1"}, {"west"}}});
        for (const std::string data_centre : {"n1", "s1", "w1"}) {
            for (const service_id& service : {llm, desk}) {
                for (int i = 0; i < 3; ++i) {
                    server_record record;
                    record.id = {data_centre + service.text + std::to_string(i)};
                    record.service = service;
                    record.data_centre = {data_centre};
                    record.slots = 4;
                    this->table.put(record, this->now);
                }
            }
        }
    }

    /** Empty lists allow all regions. */
    void no_region_lists()
    {
        CPPUNIT_ASSERT((this->served_in({}, {}) == names{"north", "south", "west"}));
    }

    void regions_of_the_route()
    {
        CPPUNIT_ASSERT((this->served_in({{"south"}}, {}) == names{"south"}));
        CPPUNIT_ASSERT((this->served_in({{"south"}, {"west"}}, {}) == names{"south", "west"}));
    }

    /** An empty list allows all regions. With two lists, a request may go only to regions that are
     * in both. */
    void regions_of_route_and_account()
    {
        CPPUNIT_ASSERT((this->served_in({}, {{"west"}}) == names{"west"}));
        CPPUNIT_ASSERT(
            (this->served_in({{"south"}, {"west"}}, {{"west"}, {"north"}}) == names{"west"}));
        CPPUNIT_ASSERT(this->served_in({{"south"}}, {{"west"}}).empty());
    }

    /** Without a server in the allowed regions the request is refused. */
    void regions_without_a_server()
    {
        CPPUNIT_ASSERT(this->served_in({{"east"}}, {}).empty());
        for (const auto& [id, row] : this->table.rows()) {
            if (row.region.text == "south") this->table.remove(id);
        }
        CPPUNIT_ASSERT(this->served_in({{"south"}}, {}).empty());
        admission admission_control(this->table);
        placement_request wanted{llm, true, 1, {}, 0};
        const std::vector<region_id> route{{"south"}};
        wanted.allowed_regions = {route, {}};
        const admission_decision decided = admission_control.decide(wanted, true, this->now);
        CPPUNIT_ASSERT(std::holds_alternative<no_server>(decided));
    }

    /** A retry does not leave the region, even if all servers there have been tried. */
    void retries()
    {
        const std::vector<server_id> tried{{"s1llm0"},  {"s1llm1"},  {"s1llm2"},
                                           {"s1desk0"}, {"s1desk1"}, {"s1desk2"}};
        CPPUNIT_ASSERT(this->served_in({{"south"}}, {}, tried).empty());
    }

    /** Prompts are copied only within the region, also while one of its servers is over its bound
     * and another takes its overflow. */
    void prompt_copies()
    {
        for (auto& [id, row] : this->table.rows())
            row.peers_in_flight = row.region.text == "south" && id.text.ends_with("0") ? 50 : 0;
        CPPUNIT_ASSERT((this->served_in({{"south"}}, {}) == names{"south"}));
    }

    /** A data centre of unknown region serves only requests that may go anywhere. */
    void data_centres_of_unknown_region()
    {
        this->table.set_regions({{{"s1"}, {"south"}}});
        CPPUNIT_ASSERT((this->served_in({{"north"}, {"south"}}, {}) == names{"south"}));
        CPPUNIT_ASSERT((this->served_in({}, {}) == names{"", "south"}));
    }

    /** Lists in the configuration that cannot be read must not open all regions. */
    static void region_lists_in_the_configuration()
    {
        const auto decode = [](const std::string& regions) {
            return platform_protocol().decode_config(
                R"({"version":3,"routes":[{"host":"h","pathPrefix":"/a/","kind":"safe",)"
                R"("service":"llm"},{"host":"h","pathPrefix":"/b/","kind":"safe","service":"llm",)"
                R"("allowedRegions":)" +
                regions + R"(}],"tenants":[{"name":"one","apiKeys":["k"],"allowedRegions":)" +
                regions + "}]}");
        };
        const auto valid = decode(R"(["north","west"])");
        const std::vector<region_id> expected{{"north"}, {"west"}};
        CPPUNIT_ASSERT(valid->find("h", "/a/x")->allowed_regions.empty());
        CPPUNIT_ASSERT(valid->find("h", "/b/x")->allowed_regions == expected);
        CPPUNIT_ASSERT(valid->account_by_key.at("k").allowed_regions == expected);
        for (const std::string empty_list : {"[]", "null"})
            CPPUNIT_ASSERT(decode(empty_list)->find("h", "/b/x")->allowed_regions.empty());
        // An unreadable list allows no region, and the rest of the configuration is still used.
        for (const std::string unreadable : {"7", R"("north")", "[7]", "{}", R"([""])", "[[]]"}) {
            const auto config = decode(unreadable);
            CPPUNIT_ASSERT(config->find("h", "/a/x")->allowed_regions.empty());
            const std::vector<region_id> none{region_id{}};
            CPPUNIT_ASSERT_MESSAGE(unreadable, config->find("h", "/b/x")->allowed_regions == none);
            CPPUNIT_ASSERT(config->account_by_key.at("k").allowed_regions == none);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config->unreadable_regions);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(requests_stay_in_their_regions);

} // namespace
