// Quoting of log line values and initialization of glog.

#include "arbutus/observe/logline.h"

#include <glog/logging.h>

namespace arbutus::observe {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\t\r") != std::string_view::npos;
}

} // namespace

LogLine::LogLine(std::string_view event)
    : m_text("event=" + std::string(event))
{
}

void LogLine::append(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (!needsQuotes(value)) {
        m_text += value;
        return;
    }
    m_text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            m_text += '\\';
        }
        m_text += (c == '\n' || c == '\r' || c == '\t') ? ' ' : c;
    }
    m_text += '"';
}

void LogLine::write() const
{
    LOG(INFO) << m_text;
}

void LogLine::warn() const
{
    LOG(WARNING) << m_text;
}

void initLogging(const char *programName)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(programName);
}

} // namespace arbutus::observe
