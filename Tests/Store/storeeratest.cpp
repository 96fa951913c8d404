#include "Store/storeera.h"
#include "platform/storewire.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

BOOST_AUTO_TEST_CASE(era_that_differs_from_what_was_read_before_is_a_change)
{
    StoreEraState known;
    BOOST_TEST((recordStoreEra(known, 3, 0) == StoreEraEvidence::Current));
    BOOST_TEST((recordStoreEra(known, 3, 0) == StoreEraEvidence::Current));
    BOOST_TEST((recordStoreEra(known, 4, 0) == StoreEraEvidence::Changed));
    BOOST_TEST(known.changes_ == 1U);
    // The response to a call from before the change.
    BOOST_TEST((recordStoreEra(known, 3, 0) == StoreEraEvidence::Late));
    BOOST_TEST((recordStoreEra(known, 4, 0) == StoreEraEvidence::Current));
    BOOST_TEST((recordStoreEra(known, 7, 0) == StoreEraEvidence::Changed));
    // The response to a call from after it.
    BOOST_TEST((recordStoreEra(known, 2, known.changes_) == StoreEraEvidence::Changed));
    BOOST_TEST(known.changes_ == 3U);
}

BOOST_AUTO_TEST_CASE(response_without_an_era_says_nothing)
{
    StoreEraState known;
    BOOST_TEST((recordStoreEra(known, std::nullopt, 0) == StoreEraEvidence::Current));
    // What was read before may be of another era.
    BOOST_TEST((recordStoreEra(known, 1, 0) == StoreEraEvidence::Changed));
    BOOST_TEST((recordStoreEra(known, std::nullopt, 0) == StoreEraEvidence::Current));
    BOOST_TEST((recordStoreEra(known, 1, 0) == StoreEraEvidence::Current));
    BOOST_TEST(known.changes_ == 1U);
}

BOOST_AUTO_TEST_CASE(only_a_decimal_number_is_an_era)
{
    const auto decoded = [](const std::string &value) {
        HttpHead head;
        head.headers_ = {{"store-era", value}};
        return wire::decodeStoreEra(head);
    };
    BOOST_TEST((decoded("7") == 7U));
    BOOST_TEST((decoded(" 12 ") == 12U));
    BOOST_TEST((decoded("18446744073709551615") == 18446744073709551615U));
    for (const char *odd : {"", "-1", "1.5", "0x2", "7,8", "one", "18446744073709551616"})
        BOOST_TEST(!decoded(odd));
    BOOST_TEST(!wire::decodeStoreEra(HttpHead{}));
}
