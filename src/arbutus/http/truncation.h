// Detection of response bodies that were cut off, from their content.
//
// Content-Length or a last chunk marks the end of most bodies. A body with neither ends with its connection; if that connection
// is closed regularly in the middle of the body, only the content can show it:
//
//   text/event-stream   cut off inside an event, or before the first one; checked for every BodyEnd
//   application/json    cut off inside the document
//   anything else       cannot be checked, and is taken as complete (RFC 9112, section 8)
//
// Q: Which breaks remain undetected?
// A: A regular close between two events of a stream without length or chunks, and inside a body of any other type. A reset is
//    always detected, by http::Call.

#pragma once

#include "arbutus/http/message.h"

namespace arbutus::http {

/// Returns the end of the first complete event in `text`, including the blank line that ends it, or npos. A CR at the end of
/// `text` ends a line only if the body ends there, because an LF may follow.
[[nodiscard]] std::size_t findEventEnd(std::string_view text, bool isEndOfBody = false);

/// Removes the first line from `text` and returns it without its end, which may be CR, LF or CRLF; the LF of a CRLF is left as an
/// empty line.
[[nodiscard]] std::string_view takeLine(std::string_view &text);

/// Returns whether `text` has a field, complete or not. Blank lines and comments are not part of an event's content.
[[nodiscard]] bool hasEventField(std::string_view text);

[[nodiscard]] bool isEventStream(const Headers &headers);

/// Returns whether the content of a response shows that its body was cut off.
[[nodiscard]] bool isTruncated(const Response &response, BodyEnd bodyEnd);

} // namespace arbutus::http
