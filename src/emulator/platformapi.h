#pragma once

#include "emulator/emulatedplatform.h"
#include "http/apiserver.h"

#include <memory>

namespace monsoonspool::emulator {

// Serves an emulated platform over the HTTP/JSON protocol of docs/PLATFORM.md.
// PUT /hosts replaces the host list.
class PlatformApi : public http::ApiHandler
{
public:
    explicit PlatformApi(EmulatedPlatform &platform);
    ~PlatformApi() override;

    void handle(const http::ApiRequest &request, http::ApiReply reply) override;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace monsoonspool::emulator
