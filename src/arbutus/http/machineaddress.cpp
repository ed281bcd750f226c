// Parsing of the address and its host.

#include "arbutus/http/machineaddress.h"

#include "arbutus/http/message.h"

#include <boost/asio/ip/address.hpp>

namespace arbutus::http {

bool isMachineAddress(const std::string &text)
{
    const Endpoint endpoint = parseEndpoint(text);
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(endpoint.host, code);
    return !code && endpoint.port != 0 && toString(endpoint) == text && !address.is_unspecified() && !address.is_multicast();
}

} // namespace arbutus::http
