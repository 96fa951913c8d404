#include "Platform/completelines.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

BOOST_AUTO_TEST_SUITE(completelines)

BOOST_AUTO_TEST_CASE(lines_are_complete_however_the_text_is_split)
{
    const std::string whole = "one\n\nthree\nrest";
    for (std::size_t size = 1; size <= whole.size(); ++size) {
        std::string text;
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < whole.size(); at += size) {
            const auto found = completeLines(text, std::string_view(whole).substr(at, size), 10);
            BOOST_REQUIRE(found.has_value());
            lines.insert(lines.end(), found->begin(), found->end());
        }
        BOOST_TEST(lines == (std::vector<std::string>{"one", "", "three"}),
                   boost::test_tools::per_element());
        BOOST_TEST(text == "rest");
    }
}

BOOST_AUTO_TEST_CASE(line_without_end_is_not_kept)
{
    std::string text;
    std::size_t parts = 0;
    while (completeLines(text, std::string(1000, 'x'), 4096) && parts < 100)
        ++parts;
    BOOST_TEST(parts == 4U);
    BOOST_TEST(text.empty());
}

BOOST_AUTO_TEST_SUITE_END()
