// TLS contexts of listeners, reloaded without a restart.
//
// TlsFiles names the files. ReloadableTlsContext returns the current context and reloads the files when they have changed,
// so that new connections use the new certificate while open connections keep theirs.

#pragma once

#include "arbutus/core/error.h"

#include <boost/asio/ssl/context.hpp>

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>

namespace arbutus::http {

/// PEM files of one TLS identity.
struct TlsFiles
{
    std::string certificateFile; // certificate chain, leaf certificate first
    std::string privateKeyFile;
    std::string clientCaFile; // CA that must have signed client certificates; empty: clients are not asked for one

    [[nodiscard]] bool enabled() const
    {
        return !certificateFile.empty();
    }
};

/// TLS context loaded from TlsFiles.
class ReloadableTlsContext
{
public:
    explicit ReloadableTlsContext(TlsFiles files);

    /// Loads the files if the certificate or the private key is newer than the current context. On an error the current context stays in use.
    [[nodiscard]] core::Result<void> reload();
    [[nodiscard]] std::shared_ptr<boost::asio::ssl::context> context() const;

private:
    TlsFiles m_files;
    std::filesystem::file_time_type m_loadedAt{};
    mutable std::mutex m_mutex;
    std::shared_ptr<boost::asio::ssl::context> m_context;
};

} // namespace arbutus::http
