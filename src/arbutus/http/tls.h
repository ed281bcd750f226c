// Certificates of listeners, reloaded without a restart.
//
// TlsFiles names the files; TlsStore hands out the newest context and loads the files anew when they have changed, so
// that new connections use the new certificate while open ones keep theirs.

#pragma once

#include "arbutus/core/error.h"

#include <boost/asio/ssl/context.hpp>

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>

namespace arbutus::http {

/// Files of one identity, PEM.
struct TlsFiles
{
    std::string certificateFile; // chain, own certificate first
    std::string privateKeyFile;  // private key
    std::string clientCaFile;    // peers must show a certificate signed by this one; empty = peers are not asked

    [[nodiscard]] bool enabled() const
    {
        return !certificateFile.empty();
    }
};

/// Newest context made from TlsFiles.
class ReloadableTlsContext
{
public:
    explicit ReloadableTlsContext(TlsFiles files);

    /// Loads the files if they are newer than the context in use; the old one stays in use on a fault.
    [[nodiscard]] core::Result<void> reload();
    [[nodiscard]] std::shared_ptr<boost::asio::ssl::context> context() const;

private:
    TlsFiles m_files;
    std::filesystem::file_time_type m_loadedAt{};
    mutable std::mutex m_mutex;
    std::shared_ptr<boost::asio::ssl::context> m_context;
};

} // namespace arbutus::http
