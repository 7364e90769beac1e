#define BOOST_TEST_MODULE teaselward
#include <boost/test/unit_test.hpp>
