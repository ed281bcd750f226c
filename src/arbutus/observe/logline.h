// Structured log lines: one line of key=value pairs per event, written through glog.
//
//   observe::LogLine("routing_decision").add("workspace", id).add("chosen", upstream).write();
//
// Values with spaces or quotes are quoted. Never log prompts, responses, order contents or secret keys.

#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace arbutus::observe {

/// Builder of one log line.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    /// Appends " key=value".
    template<class T>
    LogLine &add(std::string_view key, const T &value)
    {
        std::ostringstream out;
        out << value;
        append(key, out.str());
        return *this;
    }

    void write() const; // severity INFO
    void warn() const;  // severity WARNING
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    void append(std::string_view key, std::string_view value);

    std::string m_text;
};

/// Initializes glog; lines go to standard error.
void initLogging(const char *programName);

} // namespace arbutus::observe
