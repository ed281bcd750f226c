// Header lookup, query parsing and endpoint parsing.

#include "arbutus/http/message.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace arbutus::http {

bool CaseInsensitiveLess::operator()(std::string_view left, std::string_view right) const
{
    const auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
    return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(), [&](char a, char b) { return lower(a) < lower(b); });
}

std::string headerValue(const Headers &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string_view toString(BodyEnd bodyEnd)
{
    switch (bodyEnd) {
    case BodyEnd::Length:
        return "length";
    case BodyEnd::Chunks:
        return "chunks";
    case BodyEnd::ConnectionClose:
        break;
    }
    return "connection_close";
}

std::string Request::path() const
{
    return target.substr(0, target.find('?'));
}

std::string Request::queryParameter(std::string_view name) const
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url) {
        return {};
    }
    for (const auto &field : url->params()) {
        if (field.key == name) {
            return field.value;
        }
    }
    return {};
}

Response jsonResponse(unsigned status, std::string body)
{
    Response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

Endpoint parseEndpoint(std::string_view text)
{
    if (const auto scheme = text.find("://"); scheme != std::string_view::npos) {
        text.remove_prefix(scheme + 3);
    }
    text = text.substr(0, text.find('/'));
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return {};
    }
    return Endpoint{std::string(host), port};
}

std::string toString(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + endpoint.host + "]" : endpoint.host) + ":" + std::to_string(endpoint.port);
}

} // namespace arbutus::http
