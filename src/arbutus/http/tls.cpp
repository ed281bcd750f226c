// Loading of certificates and private keys.

#include "arbutus/http/tls.h"

namespace arbutus::http {

namespace {

namespace ssl = boost::asio::ssl;

core::Error makeLoadError(const std::string &file, const boost::system::error_code &code)
{
    return core::makeError(core::ErrorKind::SettingsInvalid, "cannot load " + file + ": " + code.message());
}

} // namespace

ReloadableTlsContext::ReloadableTlsContext(TlsFiles files)
    : m_files(std::move(files))
{
}

core::Result<void> ReloadableTlsContext::reload()
{
    std::error_code code;
    const auto certificateTime = std::filesystem::last_write_time(m_files.certificateFile, code);
    const auto keyTime = std::filesystem::last_write_time(m_files.privateKeyFile, code);
    const auto newestTime = std::max(certificateTime, keyTime);
    if (m_context != nullptr && newestTime <= m_loadedAt) {
        return core::success();
    }
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 | ssl::context::no_tlsv1
                         | ssl::context::no_tlsv1_1);
    boost::system::error_code error;
    if (context->use_certificate_chain_file(m_files.certificateFile, error)) {
        return makeLoadError(m_files.certificateFile, error);
    }
    if (context->use_private_key_file(m_files.privateKeyFile, ssl::context::pem, error)) {
        return makeLoadError(m_files.privateKeyFile, error);
    }
    if (!m_files.clientCaFile.empty()) {
        if (context->load_verify_file(m_files.clientCaFile, error)) {
            return makeLoadError(m_files.clientCaFile, error);
        }
        context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
    }
    const std::lock_guard lock(m_mutex);
    m_context = std::move(context);
    m_loadedAt = newestTime;
    return core::success();
}

std::shared_ptr<boost::asio::ssl::context> ReloadableTlsContext::context() const
{
    const std::lock_guard lock(m_mutex);
    return m_context;
}

} // namespace arbutus::http
