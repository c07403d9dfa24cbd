#include <medlar/detail/base/ids.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

class strong_type_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(strong_type_test);
    CPPUNIT_TEST(values_with_the_same_tag_compare);
    CPPUNIT_TEST_SUITE_END();

    void values_with_the_same_tag_compare()
    {
        CPPUNIT_ASSERT(medlar::revision(1) < medlar::revision(2));
        CPPUNIT_ASSERT(medlar::host_id("a") == medlar::host_id("a"));
        CPPUNIT_ASSERT(medlar::host_id("a") != medlar::host_id("b"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(strong_type_test);

} // namespace
