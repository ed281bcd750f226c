// Loading of certificates.

#include "arbutus/http/tls.h"

namespace arbutus::http {

namespace {

namespace ssl = boost::asio::ssl;

core::Error fault(const std::string &file, const boost::system::error_code &code)
{
    return core::makeError(core::ErrorKind::SettingsInvalid, "cannot load " + file + ": " + code.message());
}

} // namespace

TlsStore::TlsStore(TlsFiles files)
    : m_files(std::move(files))
{
}

core::Result<void> TlsStore::reload()
{
    std::error_code code;
    const auto certificateTime = std::filesystem::last_write_time(m_files.certificate, code);
    const auto keyTime = std::filesystem::last_write_time(m_files.key, code);
    const auto newest = std::max(certificateTime, keyTime);
    if (m_context != nullptr && newest <= m_loadedAt) {
        return core::success();
    }
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 | ssl::context::no_tlsv1
                         | ssl::context::no_tlsv1_1);
    boost::system::error_code error;
    if (context->use_certificate_chain_file(m_files.certificate, error)) {
        return fault(m_files.certificate, error);
    }
    if (context->use_private_key_file(m_files.key, ssl::context::pem, error)) {
        return fault(m_files.key, error);
    }
    if (!m_files.authority.empty()) {
        if (context->load_verify_file(m_files.authority, error)) {
            return fault(m_files.authority, error);
        }
        context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
    }
    const std::lock_guard lock(m_mutex);
    m_context = std::move(context);
    m_loadedAt = newest;
    return core::success();
}

std::shared_ptr<boost::asio::ssl::context> TlsStore::context() const
{
    const std::lock_guard lock(m_mutex);
    return m_context;
}

} // namespace arbutus::http
