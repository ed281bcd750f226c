// HTTP message types that do not depend on an HTTP library.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace arbutus::http {

/// Case-insensitive order of header names, as HTTP requires.
struct CaseInsensitiveLess
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;

/// Value of a header, or an empty string if it is absent.
[[nodiscard]] std::string headerValue(const Headers &headers, std::string_view name);

/// HTTP request. The body is empty until it has been read.
struct Request
{
    std::string method = "GET";
    std::string target = "/"; // path and query
    Headers headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody = {}; // sent instead of `body` unless null, so that several calls hold one copy

    [[nodiscard]] std::string path() const;                                // target without the query
    [[nodiscard]] std::string queryParameter(std::string_view name) const; // percent-decoded value; empty if absent
};

/// How a message marks the end of its body.
enum class BodyEnd {
    Length,          // Content-Length, or a message that has no body
    Chunks,          // the last chunk
    ConnectionClose, // the end of the connection; a body that was cut off by a regular close looks like a complete one
};

/// Name as written in logs and metric labels, e.g. "connection_close".
[[nodiscard]] std::string_view toString(BodyEnd bodyEnd);

/// HTTP response.
struct Response
{
    unsigned status = 200;
    Headers headers;
    std::string body;
};

/// Whether a response with this status comes before the final one.
[[nodiscard]] constexpr bool isInterimStatus(unsigned status)
{
    return status >= 100 && status < 200;
}

/// Whether a final response may have this status (RFC 9110, section 15).
[[nodiscard]] constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status < 600;
}

/// Response with the content type application/json.
[[nodiscard]] Response jsonResponse(unsigned status, std::string body);

/// IP address and port of a listener.
struct Endpoint
{
    std::string host; // IP address, without brackets
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses "http://127.0.0.1:8080", "127.0.0.1:8080" or "[::1]:8080"; the port is 0 if parsing fails.
[[nodiscard]] Endpoint parseEndpoint(std::string_view text);

/// Formats as "127.0.0.1:8080" or "[::1]:8080".
[[nodiscard]] std::string toString(const Endpoint &endpoint);

} // namespace arbutus::http
