// Plain HTTP messages, free of any library's types.

#pragma once

#include <map>
#include <string>
#include <string_view>

namespace arbutus::http {

/// Order of header names that ignores case, as HTTP does.
struct CaseInsensitiveLess
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;

/// Value of a header, or an empty text.
[[nodiscard]] std::string headerValue(const Headers &headers, std::string_view name);

/// One request, body included where it has been read.
struct Request
{
    std::string method = "GET";
    std::string target = "/"; // path and query
    Headers headers;
    std::string body;

    [[nodiscard]] std::string path() const;                                // target without the query
    [[nodiscard]] std::string queryParameter(std::string_view name) const; // value of a query field, percent-decoded
};

/// One whole answer.
struct Response
{
    unsigned status = 200;
    Headers headers;
    std::string body;
};

/// JSON answer with its content type set.
[[nodiscard]] Response jsonResponse(unsigned status, std::string body);

/// Address of a listener: IP number and port.
struct Endpoint
{
    std::string host; // IP number
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Reads "http://127.0.0.1:8080", "127.0.0.1:8080" or "[::1]:8080"; port 0 when it cannot be read.
[[nodiscard]] Endpoint parseEndpoint(std::string_view text);

/// "127.0.0.1:8080".
[[nodiscard]] std::string toString(const Endpoint &endpoint);

} // namespace arbutus::http
