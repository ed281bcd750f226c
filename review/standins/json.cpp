// The implementation of Boost.JSON, so that the stand-ins need no library at link time.

#include <boost/json/src.hpp>
