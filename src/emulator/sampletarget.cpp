#include "emulator/sampletarget.h"

#include "codec/json.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>

namespace monsoonspool::emulator {

namespace {

constexpr std::size_t MaxBodyBytes = 256 * 1024 * 1024;

constexpr long long MaxAnswerBytes = 256LL * 1024 * 1024;

long long parseNumberOr(std::string_view text, long long fallback)
{
    long long n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && !text.empty() ? n : fallback;
}

} // namespace

SampleTarget::SampleTarget(boost::asio::io_context &io, std::string name, Duration defaultService)
    : m_io(io), m_name(std::move(name)), m_defaultService(defaultService),
      m_server(io, *this, http::ApiLimits{{64 * 1024}, MaxBodyBytes, {10'000, MaxBodyBytes}})
{
}

SampleTarget::~SampleTarget() = default;

Result<void> SampleTarget::listen(const ports::Address &address)
{
    return m_server.listen(address);
}

ports::Address SampleTarget::address() const
{
    return m_server.address();
}

void SampleTarget::stop()
{
    m_server.stop();
}

void SampleTarget::handle(const http::ApiRequest &request, http::ApiReply reply)
{
    if (request.path == "/sample/counts") {
        codec::Json runs = codec::Json::object();
        for (const auto &[id, n] : m_counts.runsById) {
            runs[id] = n;
        }
        reply({200,
               "application/json",
               codec::writeJson({{"requests", m_counts.requests},
                                 {"open", m_counts.open},
                                 {"maxOpen", m_counts.maxOpen},
                                 {"runs", runs}}),
               {}});
        return;
    }
    ++m_counts.requests;
    ++m_counts.open;
    m_counts.maxOpen = std::max(m_counts.maxOpen, m_counts.open);
    if (const auto id = request.field("Sample-Id"); !id.empty()) {
        ++m_counts.runsById[std::string(id)];
    }
    const auto serviceMs = parseNumberOr(request.field("Sample-Service-Ms"), toMilliseconds(m_defaultService));
    if (serviceMs <= 0) {
        --m_counts.open;
        reply(answer(request));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::milliseconds(serviceMs));
    timer->async_wait([this, timer, request, reply = std::move(reply)](const boost::system::error_code &ec) {
        --m_counts.open;
        if (!ec) {
            reply(answer(request));
        }
    });
}

http::ApiResponse SampleTarget::answer(const http::ApiRequest &request) const
{
    http::ApiResponse response;
    response.status = static_cast<int>(parseNumberOr(request.field("Sample-Status"), 200));
    response.contentType = "text/plain";
    const auto bytes = std::clamp(parseNumberOr(request.field("Sample-Answer-Bytes"), -1), -1LL, MaxAnswerBytes);
    response.body = bytes >= 0 ? std::string(static_cast<std::size_t>(bytes), 'x') : request.body;
    response.fields = {{"Sample-Target", m_name}, {"Sample-Id", std::string(request.field("Sample-Id"))}};
    return response;
}

} // namespace monsoonspool::emulator
